#include "response_head_reader.h"

#include <utility>
#include <variant>

namespace jasminewood::http::internal
{

namespace
{

constexpr int firstFinalStatus = 200;
constexpr int switchingProtocols = 101;
constexpr int noContent = 204;
constexpr int notModified = 304;

auto withoutTerminator(std::string_view line) -> std::string_view
{
    if (line.ends_with('\n')) {
        line.remove_suffix(1);
        line.remove_suffix(line.ends_with('\r') ? 1 : 0);
    }
    return line;
}

} // namespace

auto ResponseHeadReader::read(std::string_view line) -> std::optional<GrammarError>
{
    const auto content = withoutTerminator(line);
    if (position_ == Position::StatusLine) {
        return readStatusLine(content);
    }
    if (!content.empty()) {
        return readFieldLine(content);
    }
    return position_ == Position::Fields ? endHead() : std::nullopt;
}

auto ResponseHeadReader::isComplete() const -> bool
{
    return position_ == Position::Trailer;
}

auto ResponseHeadReader::status() const -> int
{
    return statusLine_ ? statusLine_->status_ : 0;
}

auto ResponseHeadReader::fields() const -> const std::vector<HeaderField> &
{
    return fields_;
}

auto ResponseHeadReader::bodyEndsWithConnection() const -> bool
{
    const auto hasNoBody = status() == noContent || status() == notModified;
    return !hasNoBody && !hasFraming(fields_);
}

auto ResponseHeadReader::readStatusLine(std::string_view line) -> std::optional<GrammarError>
{
    const auto parsed = parseStatusLine(line);
    if (const auto *error = std::get_if<GrammarError>(&parsed)) {
        return *error;
    }
    statusLine_.emplace(std::get<StatusLine>(parsed));
    if (statusLine_->status_ == switchingProtocols) {
        return GrammarError {.rule_ = GrammarRule::ProtocolSwitch, .subject_ = std::string(line)};
    }
    fields_.clear();
    position_ = Position::Fields;
    return std::nullopt;
}

auto ResponseHeadReader::readFieldLine(std::string_view line) -> std::optional<GrammarError>
{
    auto parsed = parseFieldLine(line);
    if (const auto *error = std::get_if<GrammarError>(&parsed)) {
        return *error;
    }
    if (position_ == Position::Fields) {
        fields_.push_back(std::get<HeaderField>(parsed));
    }
    return std::nullopt;
}

auto ResponseHeadReader::endHead() -> std::optional<GrammarError>
{
    if (statusLine_->status_ < firstFinalStatus) {
        position_ = Position::StatusLine;
        return std::nullopt;
    }
    position_ = Position::Trailer;
    return checkFraming(*statusLine_, fields_);
}

} // namespace jasminewood::http::internal
