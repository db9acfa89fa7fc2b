#pragma once

#include <string>
#include <string_view>

#include "jasminewood/claims/claim.h"
#include "jasminewood/core/result.h"

// The JSON in which a claim stands in the key-value service.

namespace jasminewood::router::internal
{

auto encodeClaim(const claims::ClaimRecord &record) -> std::string;

// Fails with step "read claim" if the text is no claim.
auto decodeClaim(std::string_view text) -> Result<claims::ClaimRecord>;

} // namespace jasminewood::router::internal
