// What becomes of a client's request that was passed to the coordinator.
#include <gtest/gtest.h>

#include "circuitbreaker.h"
#include "coordinatorrelay.h"

namespace godwitfall {
namespace {

TEST(CoordinatorRelayTest, NothingThatMayHaveBeenTakenIsSaidNotToHaveBeen)
{
    struct Case
    {
        const char *name;
        const char *method;
        unsigned status; ///< 0: no answer.
        Fate fate;       ///< Without an answer.
        bool knownHere;
        RelayStep step;
    };
    const Fate none = Fate::Invalid;
    for (const Case &given :
         {Case{"accepted", "POST", 200, none, false, RelayStep::Relay},
          Case{"too much work ahead", "POST", 429, none, false, RelayStep::Relay},
          Case{"malformed", "POST", 400, none, false, RelayStep::Relay},
          Case{"it can't append", "POST", 503, none, false, RelayStep::ServeHere},
          Case{"it does not know the outcome", "POST", 504, none, false,
               RelayStep::ServeHereMaybeTaken},
          Case{"its configuration is older", "POST", 404, none, false, RelayStep::ServeHere},
          Case{"never reached", "POST", 0, Fate::NotDone, false, RelayStep::ServeHere},
          Case{"its answer was lost", "POST", 0, Fate::Unknown, false,
               RelayStep::ServeHereMaybeTaken},
          Case{"a cancel's answer was lost", "DELETE", 0, Fate::Unknown, true,
               RelayStep::ServeHereMaybeTaken},
          Case{"shown", "GET", 200, none, true, RelayStep::Relay},
          Case{"gone", "GET", 410, none, false, RelayStep::Relay},
          Case{"not known to it yet", "GET", 410, none, true, RelayStep::ServeHere},
          Case{"a question's answer was lost", "GET", 0, Fate::Unknown, true,
               RelayStep::ServeHere}}) {
        Result<HttpResponse> result = tl::unexpected(Error{given.fate, "pass on", "peer", "lost"});
        if (given.status != 0) {
            HttpResponse response;
            response.status = given.status;
            result = response;
        }
        EXPECT_EQ(relayStep(given.method, result, given.knownHere), given.step) << given.name;
    }
}

TEST(CircuitBreakerTest, OpensOnAFailureAndLetsOneTrialThroughAfterAWhile)
{
    CircuitBreaker breaker;
    EXPECT_TRUE(breaker.admit(Instant(1000)));
    EXPECT_TRUE(breaker.admit(Instant(1001)));
    breaker.failed(Instant(1002));
    EXPECT_FALSE(breaker.admit(Instant(1003)));
    const Instant later = Instant(1002) + CircuitBreaker::openDuration;
    EXPECT_FALSE(breaker.admit(later - Duration(1)));
    EXPECT_TRUE(breaker.admit(later));
    EXPECT_FALSE(breaker.admit(later + Duration(1))) << "one trial at a time";
    breaker.succeeded();
    EXPECT_TRUE(breaker.admit(later + Duration(2)));
    breaker.failed(later);
    breaker.reset();
    EXPECT_TRUE(breaker.admit(later + Duration(1))) << "another peer";
}

} // namespace
} // namespace godwitfall
