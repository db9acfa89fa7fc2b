#pragma once

#include <string>
#include <string_view>

#include "jasminewood/claims/claim.h"
#include "jasminewood/core/result.h"

// JSON encoding of claim records in the key-value service.

namespace jasminewood::router::internal
{

auto encodeClaim(const claims::ClaimRecord &record) -> std::string;

// Fails with step "read claim" if the text is not a valid claim record.
auto decodeClaim(std::string_view text) -> Result<claims::ClaimRecord>;

} // namespace jasminewood::router::internal
