#include "pacepolicy.h"

#include <algorithm>
#include <initializer_list>

namespace godwitfall {

namespace {

/** Pace down to which tasks are slowed before any is halted; their figures still show how busy
 * they are. */
constexpr double slowestPace = 0.2;

} // namespace

PacePolicy::PacePolicy(const InterferenceModel &interference)
    : interference(interference)
{}

void PacePolicy::slowFor(const std::string &serving, double room,
                         std::vector<PacedTask> &filling) const
{
    double pressure = 0.0;
    for (PacedTask &task : filling) {
        task.factor = this->interference.pressure(serving, task.image, task.activity);
        pressure += task.factor * task.share * task.pace;
    }
    // Where the same pressure costs the least work, it is taken back first.
    std::sort(filling.begin(), filling.end(), [](const PacedTask &left, const PacedTask &right) {
        return left.factor > right.factor;
    });
    for (const double floor : {slowestPace, 0.0}) {
        for (PacedTask &task : filling) {
            const double part = task.factor * task.share;
            if (pressure <= room || part <= 0.0) {
                break;
            }
            const double pace =
                std::max(std::min(task.pace, floor), task.pace - (pressure - room) / part);
            pressure -= (task.pace - pace) * part;
            task.pace = pace;
        }
    }
}

} // namespace godwitfall
