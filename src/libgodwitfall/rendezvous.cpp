#include "rendezvous.h"

#include <algorithm>

#include <xxhash.h>

namespace godwitfall {

namespace {

std::uint64_t weight(std::string_view key, const InstanceId &candidate)
{
    const XXH64_hash_t seed = XXH64(candidate.value().data(), candidate.value().size(), 0);
    return XXH64(key.data(), key.size(), seed);
}

} // namespace

std::vector<InstanceId> rendezvousOrder(std::string_view key, std::vector<InstanceId> candidates)
{
    std::sort(candidates.begin(), candidates.end(),
              [&](const InstanceId &left, const InstanceId &right) {
                  const auto leftWeight = weight(key, left);
                  const auto rightWeight = weight(key, right);
                  return leftWeight != rightWeight ? leftWeight > rightWeight : left < right;
              });
    return candidates;
}

InstanceId rendezvousOwner(std::string_view key, const std::vector<InstanceId> &candidates)
{
    const auto best = std::max_element(
        candidates.begin(), candidates.end(), [&](const InstanceId &left, const InstanceId &right) {
            const auto leftWeight = weight(key, left);
            const auto rightWeight = weight(key, right);
            return leftWeight != rightWeight ? leftWeight < rightWeight : right < left;
        });
    return best == candidates.end() ? InstanceId() : *best;
}

} // namespace godwitfall
