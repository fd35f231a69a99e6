// What decisions cost: time and bytes at several sizes, for the slopes in docs/CAPACITY.md.

#include <benchmark/benchmark.h>

#include "clusterstate.h"
#include "membership.h"
#include "workertable.h"

namespace godwitfall {
namespace {

wire::Batch submitBatch(std::uint64_t seq, int records)
{
    wire::Batch batch;
    batch.set_writer("instance#1");
    batch.set_seq(seq);
    for (int index = 0; index < records; ++index) {
        wire::Record &record = *batch.add_records();
        record.set_author("operator");
        wire::TaskSpec &spec = *record.mutable_submit()->mutable_spec();
        spec.set_task("task-" + std::to_string(seq) + "-" + std::to_string(index));
        spec.set_team("team-" + std::to_string(index % 440));
        spec.set_run_ms(60000);
        spec.mutable_size()->set_milli_cores(1000);
        spec.mutable_size()->set_memory_mb(2000);
        spec.set_payload(std::string(100, 'p'));
    }
    return batch;
}

wire::Batch attemptBatch(std::uint64_t seq, const wire::Batch &submitted, bool end)
{
    wire::Batch batch;
    batch.set_writer("instance#1");
    batch.set_seq(seq);
    for (const wire::Record &record : submitted.records()) {
        wire::Record &next = *batch.add_records();
        wire::TaskKey key;
        key.set_task(record.submit().spec().task());
        key.set_attempt(1);
        if (end) {
            *next.mutable_end()->mutable_key() = key;
            next.mutable_end()->set_worker("worker-1");
        } else {
            *next.mutable_claim()->mutable_key() = key;
            next.mutable_claim()->set_worker("worker-1");
            next.mutable_claim()->set_zone("zone");
        }
    }
    return batch;
}

/** A task's life in the replicated state: submitted, claimed, ended; with others running. */
void taskLife(benchmark::State &state)
{
    ClusterState cluster;
    std::uint64_t offset = 0;
    const auto apply = [&](const wire::Batch &batch) {
        cluster.apply(Offset(++offset), batch);
    };
    const auto running = static_cast<int>(state.range(0));
    const wire::Batch standing = submitBatch(offset + 1, running);
    apply(standing);
    apply(attemptBatch(offset + 1, standing, false));
    constexpr int tasksInBatch = 100;
    for (auto each : state) {
        const wire::Batch submitted = submitBatch(offset + 1, tasksInBatch);
        apply(submitted);
        apply(attemptBatch(offset + 1, submitted, false));
        apply(attemptBatch(offset + 1, submitted, true));
    }
    state.SetItemsProcessed(state.iterations() * tasksInBatch);
}
BENCHMARK(taskLife)->Arg(1000)->Arg(8000)->Arg(24000);

/** A snapshot of the state with so many tasks running. */
void snapshot(benchmark::State &state)
{
    ClusterState cluster;
    const wire::Batch standing = submitBatch(1, static_cast<int>(state.range(0)));
    cluster.apply(Offset(1), standing);
    cluster.apply(Offset(2), attemptBatch(2, standing, false));
    std::size_t bytes = 0;
    for (auto each : state) {
        bytes = cluster.snapshot().SerializeAsString().size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
    state.counters["bytes_per_task"] = static_cast<double>(bytes) / state.range(0);
}
BENCHMARK(snapshot)->Arg(1000)->Arg(8000)->Arg(24000)->Unit(benchmark::kMillisecond);

wire::InstanceList workersOf(int count)
{
    wire::InstanceList list;
    for (int index = 0; index < count; ++index) {
        wire::ListedWorker &worker = *list.add_workers();
        worker.set_worker("worker-" + std::to_string(index));
        worker.set_zone("zone");
        worker.set_address("10.0.0.1:7200");
        worker.mutable_capacity()->set_milli_cores(64000);
        worker.mutable_capacity()->set_memory_mb(250000);
        worker.mutable_capacity()->set_slots(8);
        worker.add_services("ordering");
    }
    return list;
}

LeaseTimes benchTimes()
{
    return {Duration(5000), Duration(1000), Duration(15000), Duration(60000), Duration(10000), 10};
}

WorkerTable ownedWorkers(int count, Random &random)
{
    WorkerTable table(ZoneId("zone"), benchTimes(), makeWorkerChooser("peak-ewma", random));
    table.applyList(workersOf(count), Instant(1), Instant(1));
    for (auto &[id, worker] : table.all()) {
        wire::WorkerReply grant;
        grant.set_worker(id.value());
        grant.set_epoch(1);
        *grant.mutable_inventory()->mutable_capacity() = worker.capacity.toWire();
        table.becomeOwner(worker, grant, Instant(1), Instant(1));
    }
    return table;
}

/** Choosing a worker for a call and keeping a slot there, and giving it back. */
void reserveCall(benchmark::State &state)
{
    Random random(1);
    WorkerTable table = ownedWorkers(static_cast<int>(state.range(0)), random);
    const CallId call("instance#1/1");
    for (auto each : state) {
        const auto reservation = table.reserveCall(call, "ordering", Instant(2));
        table.releaseCall(reservation->worker, reservation->epoch, call);
    }
}
BENCHMARK(reserveCall)->Arg(10)->Arg(50)->Arg(200);

/** Choosing a worker for a task. */
void reserveAttempt(benchmark::State &state)
{
    Random random(1);
    WorkerTable table = ownedWorkers(static_cast<int>(state.range(0)), random);
    wire::TaskRecord task;
    task.mutable_spec()->set_task("a");
    task.mutable_spec()->mutable_size()->set_milli_cores(1000);
    for (auto each : state) {
        const auto reservation = table.reserveAttempt(task, Instant(2));
        table.releaseAttempt(reservation->worker, reservation->epoch, "a", 1);
    }
}
BENCHMARK(reserveAttempt)->Arg(10)->Arg(50)->Arg(200);

/** The pending tasks that a scheduling round looks at, with so many waiting. */
void pendingTasks(benchmark::State &state)
{
    ClusterState cluster;
    cluster.apply(Offset(1), submitBatch(1, static_cast<int>(state.range(0))));
    for (auto each : state) {
        benchmark::DoNotOptimize(cluster.tasks().pending(256, "z"));
    }
}
BENCHMARK(pendingTasks)->Arg(1000)->Arg(8000)->Arg(24000)->Unit(benchmark::kMicrosecond);

/** Bytes of one renewal to a worker and of its answer, with so many tasks there. */
void renewalBytes(benchmark::State &state)
{
    wire::WorkerOrder order;
    order.set_worker("zone-worker-12");
    order.set_owner("zone-instance-1#1796342591123");
    order.set_epoch(1ULL << 60);
    wire::WorkerReply reply;
    reply.set_worker(order.worker());
    reply.set_incarnation(1ULL << 40);
    for (int index = 0; index < state.range(0); ++index) {
        wire::TaskKey &key = *order.mutable_renew()->add_tasks();
        key.set_task("allocation-plan-" + std::to_string(index));
        key.set_attempt(1);
        wire::TaskOnWorker &task = *reply.mutable_inventory()->add_tasks();
        *task.mutable_key() = key;
        task.mutable_size()->set_milli_cores(1000);
        task.mutable_size()->set_memory_mb(2000);
    }
    std::size_t bytes = 0;
    for (auto each : state) {
        bytes = order.SerializeAsString().size() + reply.SerializeAsString().size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(renewalBytes)->Arg(0)->Arg(10)->Arg(40);

/** Bytes of one heartbeat between instances, with so many zones known. */
void heartbeatBytes(benchmark::State &state)
{
    wire::PeerMessage message;
    message.set_from("zone-instance-1");
    message.set_zone("zone");
    message.set_incarnation(1ULL << 40);
    for (int index = 0; index < state.range(0); ++index) {
        wire::ZoneMark &mark = *message.mutable_heartbeat()->add_zones();
        mark.set_zone("region-2-zone-" + std::to_string(index));
        mark.set_instances(9);
        mark.set_lowest_next_offset(1ULL << 30);
        mark.set_age_ms(900);
    }
    std::size_t bytes = 0;
    for (auto each : state) {
        bytes = message.SerializeAsString().size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(heartbeatBytes)->Arg(3)->Arg(10)->Arg(31);

} // namespace
} // namespace godwitfall

BENCHMARK_MAIN();
