#include "jasminewood/settings/flags.h"

#include <algorithm>
#include <deque>

#include <fmt/format.h>
#include <gflags/gflags.h>

namespace jasminewood::settings
{

namespace
{

// Storage of one flag. gflags holds pointers into it until the program ends.
struct FlagStorage
{
    std::string name_;
    std::string help_;
    std::string current_;
    std::string default_;
};

// Uses a deque, because appending does not move its elements.
auto flagStorage() -> std::deque<FlagStorage> &
{
    static auto registered = std::deque<FlagStorage>();
    return registered;
}

auto isRegistered(const std::string &name) -> bool
{
    auto info = gflags::CommandLineFlagInfo();
    return gflags::GetCommandLineFlagInfo(name.c_str(), &info);
}

} // namespace

auto flagName(const KeySchema &key) -> std::string
{
    auto name = key.section_ + "_" + key.name_;
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
}

auto registerFlags(const Schema &schema) -> void
{
    for (const auto &key : schema) {
        const auto name = flagName(key);
        if (isRegistered(name)) {
            continue;
        }
        const auto required = key.default_ ? "" : ", required in the file or here";
        const auto help = fmt::format("{} ({}{})", key.help_, describeExpected(key.kind_), required);
        const auto initial = key.default_.value_or("");
        auto &flag = flagStorage().emplace_back(
            FlagStorage {.name_ = name, .help_ = help, .current_ = initial, .default_ = initial});
        gflags::FlagRegisterer(flag.name_.c_str(), flag.help_.c_str(), "settings", &flag.current_, &flag.default_);
    }
}

auto flagOverrides(const Schema &schema) -> Overrides
{
    auto overrides = Overrides();
    for (const auto &key : schema) {
        auto info = gflags::CommandLineFlagInfo();
        const auto name = flagName(key);
        if (gflags::GetCommandLineFlagInfo(name.c_str(), &info) && !info.is_default) {
            overrides.emplace(name, info.current_value);
        }
    }
    return overrides;
}

} // namespace jasminewood::settings
