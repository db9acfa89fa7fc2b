#pragma once

#include <string>
#include <variant>
#include <vector>

#include "jasminewood/manifest/check.h"

// A small valid manifest and helpers for the tests of this package.

namespace jasminewood::manifest::sample
{

inline const auto hashA = std::string(64, 'a');

inline auto text() -> std::string
{
    return "[pool gpu]\nkind = engine\nconcurrency = 4\nlong_lane = 1\n"
           "[pool booking]\nkind = service\nconcurrency = 4\npath = /services/booking\n"
           "[model film]\nversions = 1, 2\npool = gpu\n"
           "[class quote]\ntier = 0\nmaximum_wait_ms = 5000\nmodels = film:2\npool = gpu\nminimum_share = 30\n"
           "[class book]\ntier = 1\nmaximum_wait_ms = 5000\npool = booking\n"
           "[account shop]\nkey_sha256 = "
        + hashA
        + "\ndefault_class = quote\nclasses = quote, book\nrequests_per_second = 5\nwork_per_second = 900\n"
          "[route confirm]\npool = booking\nmethod = POST\npath = /services/booking/confirm\nidempotent = no\n"
          "class = book\n";
}

// Returns the sample with the first occurrence of `from` replaced by `to`.
inline auto withReplacement(const std::string &from, const std::string &to) -> std::string
{
    auto result = text();
    return result.replace(result.find(from), from.size(), to);
}

inline auto errorsOf(const std::string &text) -> std::vector<std::string>
{
    const auto checked = check(text, "m.ini");
    auto lines = std::vector<std::string>();
    if (const auto *errors = std::get_if<std::vector<ConfigError>>(&checked)) {
        for (const auto &configError : *errors) {
            lines.push_back(ini::toString(configError));
        }
    }
    return lines;
}

// Precondition: the text is valid.
inline auto parseValid(const std::string &text) -> std::shared_ptr<const Manifest>
{
    return std::get<std::shared_ptr<const Manifest>>(check(text, "m.ini"));
}

} // namespace jasminewood::manifest::sample
