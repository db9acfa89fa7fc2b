#include "jasminewood/election/fencing_token.h"

#include <algorithm>

#include <xxhash.h>

namespace jasminewood::election
{

auto nextFencingToken(const TokenBasis &basis, const std::string &router) -> std::uint64_t
{
    const auto refused = basis.highestRefused_ ? *basis.highestRefused_ + stepAfterRefusal : 0;
    const auto afterOthers = std::max(basis.highestSeen_, refused) / tokensPerMillisecond + 1;
    const auto wallClock = std::uint64_t(std::max<Milliseconds::rep>(basis.wallClock_.count(), 0));
    return std::max(afterOthers, wallClock) * tokensPerMillisecond
        + XXH3_64bits(router.data(), router.size()) % tokensPerMillisecond;
}

} // namespace jasminewood::election
