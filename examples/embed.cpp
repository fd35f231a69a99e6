// Embeds the library: a replicated state built from a log that is only a vector here, and the owner
// of a worker chosen by rendezvous hashing.

#include <iostream>
#include <vector>

#include "clusterstate.h"
#include "rendezvous.h"

int main()
{
    using namespace godwitfall;
    const std::vector<InstanceId> instances = {InstanceId("a"), InstanceId("b"), InstanceId("c")};
    std::cout << "worker w-1 is to be owned by " << rendezvousOwner("w-1", instances).value()
              << "\n";

    std::vector<wire::Batch> log(2);
    log[0].set_writer("a#1");
    log[0].set_seq(1);
    log[0].add_records()->mutable_submit()->mutable_spec()->set_task("plan");
    log[1].set_writer("b#1");
    log[1].set_seq(1);
    wire::ClaimTask &claim = *log[1].add_records()->mutable_claim();
    claim.mutable_key()->set_task("plan");
    claim.mutable_key()->set_attempt(1);
    claim.set_worker("w-1");

    ClusterState state;
    for (std::size_t index = 0; index < log.size(); ++index) {
        const Applied applied = state.apply(Offset(index + 1), log[index]);
        std::cout << "offset " << index + 1
                  << (applied.decisions[0].accepted ? " accepted" : " refused") << "\n";
    }
    std::cout << "plan is " << stateName(state.tasks().find("plan")->state()) << "\n";
    return 0;
}
