// Handling of a client's request after it was forwarded to the coordinator.
#include <gtest/gtest.h>

#include "circuitbreaker.h"
#include "coordinatorrelay.h"

namespace godwitfall {
namespace {

TEST(CoordinatorRelayTest, NeverDeniesWhatCoordinatorMayHaveAccepted)
{
    struct Case
    {
        const char *name;
        const char *method;
        unsigned status; ///< 0: no response.
        Fate fate;       ///< If there is no response.
        bool knownHere;
        RelayDecision decision;
        bool newerConfig = false; ///< The coordinator's configuration is newer.
    };
    const Fate none = Fate::Invalid;
    for (const Case &given :
         {Case{"accepted", "POST", 200, none, false, RelayDecision::Relay},
          Case{"overloaded", "POST", 429, none, false, RelayDecision::Relay},
          Case{"malformed", "POST", 400, none, false, RelayDecision::Relay},
          Case{"append unavailable", "POST", 503, none, false, RelayDecision::ServeLocally},
          Case{"outcome unknown", "POST", 504, none, false,
               RelayDecision::ServeLocallyMaybeAccepted},
          Case{"older configuration", "POST", 404, none, false, RelayDecision::ServeLocally},
          Case{"queue removed", "POST", 404, none, false, RelayDecision::Relay, true},
          Case{"not reached", "POST", 0, Fate::NotDone, false, RelayDecision::ServeLocally},
          Case{"response lost", "POST", 0, Fate::Unknown, false,
               RelayDecision::ServeLocallyMaybeAccepted},
          Case{"response to cancel lost", "DELETE", 0, Fate::Unknown, true,
               RelayDecision::ServeLocallyMaybeAccepted},
          Case{"shown", "GET", 200, none, true, RelayDecision::Relay},
          Case{"gone", "GET", 410, none, false, RelayDecision::Relay},
          Case{"job not in its view yet", "GET", 410, none, true, RelayDecision::ServeLocally},
          Case{"response to query lost", "GET", 0, Fate::Unknown, true,
               RelayDecision::ServeLocally}}) {
        Result<HttpResponse> result = tl::unexpected(Error{given.fate, "forward", "peer", "lost"});
        if (given.status != 0) {
            HttpResponse response;
            response.status = given.status;
            result = response;
        }
        EXPECT_EQ(relayDecision(given.method, result, given.knownHere, given.newerConfig),
                  given.decision)
            << given.name;
    }
}

TEST(CircuitBreakerTest, OpensOnFailureAndAdmitsOneTrialAfterOpenTime)
{
    CircuitBreaker breaker;
    EXPECT_TRUE(breaker.admit(Instant(1000)));
    EXPECT_TRUE(breaker.admit(Instant(1001)));
    breaker.failed(Instant(1002));
    EXPECT_FALSE(breaker.admit(Instant(1003)));
    const Instant later = Instant(1002) + CircuitBreaker::openDuration;
    EXPECT_FALSE(breaker.admit(later - Duration(1)));
    EXPECT_TRUE(breaker.admit(later));
    EXPECT_FALSE(breaker.admit(later + Duration(1))) << "only one trial at a time";
    breaker.succeeded();
    EXPECT_TRUE(breaker.admit(later + Duration(2)));
    breaker.failed(later);
    breaker.reset();
    EXPECT_TRUE(breaker.admit(later + Duration(1))) << "reset for another peer";
}

} // namespace
} // namespace godwitfall
