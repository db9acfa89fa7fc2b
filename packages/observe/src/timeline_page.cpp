#include "jasminewood/observe/timeline_page.h"

#include <algorithm>
#include <map>

#include <fmt/format.h>

namespace jasminewood::observe
{

namespace
{

constexpr double microsPerMillisecond = 1000;
constexpr double axisPercent = 100;
constexpr int axisTicks = 5;

constexpr auto pageHead = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{0}</title><style>
body {{ font-family: sans-serif; margin: 1em; }}
.row {{ display: flex; border-bottom: 1px solid #ccc; height: 2em; }}
.name {{ width: 16em; overflow: hidden; white-space: nowrap; font-size: small; }}
.axis {{ position: relative; flex: 1; margin-right: 8em; }}
.event {{ position: absolute; border-left: 2px solid #06c; padding-left: 2px; font-size: x-small; }}
.mark {{ position: absolute; border-left: 1px solid #999; padding-left: 2px; font-size: x-small; color: #666; }}
table {{ border-collapse: collapse; margin-top: 1em; font-size: small; }}
td, th {{ border: 1px solid #ccc; padding: 2px 6px; text-align: left; }}
</style></head><body><h1>{0}</h1>
)";

auto millisecondsAfter(std::int64_t start, std::int64_t micros) -> double
{
    return static_cast<double>(micros - start) / microsPerMillisecond;
}

// Range of the time axis, in microseconds; at least 1 us, so that positions are defined for a single event.
struct Span
{
    std::int64_t from_;
    std::int64_t to_;
};

auto spanOf(const std::vector<MergedEvent> &events) -> Span
{
    const auto from = events.empty() ? 0 : events.front().alignedMicros_;
    const auto to = events.empty() ? 0 : events.back().alignedMicros_;
    return Span {.from_ = from, .to_ = std::max(to, from + 1)};
}

auto attemptName(const TimelineEvent &event) -> std::string
{
    return event.attempt_ == 0 ? event.request_ : fmt::format("{}#{}", event.request_, event.attempt_);
}

auto replaceControlCharacters(std::string text) -> std::string
{
    std::replace_if(
        text.begin(), text.end(),
        [](char character) -> bool {
            return static_cast<unsigned char>(character) < ' ';
        },
        ' ');
    return text;
}

auto eventSpan(const MergedEvent &merged, const Span &span) -> std::string
{
    const auto position = axisPercent * static_cast<double>(merged.alignedMicros_ - span.from_)
        / static_cast<double>(span.to_ - span.from_);
    const auto &event = merged.event_;
    const auto tooltip = fmt::format("{:.3f} ms {} {} {}", millisecondsAfter(span.from_, merged.alignedMicros_),
        attemptName(event), event.peer_, event.detail_);
    return fmt::format("<span class=\"event\" style=\"left:{:.3f}%\" title=\"{}\">{}</span>", position,
        escapeHtml(tooltip), escapeHtml(event.step_));
}

auto axisRow(const Span &span) -> std::string
{
    auto row = std::string("<div class=\"row\"><div class=\"name\">ms</div><div class=\"axis\">");
    for (auto tick = 0; tick <= axisTicks; ++tick) {
        const auto fraction = static_cast<double>(tick) / axisTicks;
        row += fmt::format("<span class=\"mark\" style=\"left:{:.0f}%\">{:.3f}</span>", axisPercent * fraction,
            fraction * millisecondsAfter(span.from_, span.to_));
    }
    return row + "</div></div>\n";
}

auto processRows(const std::vector<MergedEvent> &events, const Span &span) -> std::string
{
    auto marks = std::map<std::string, std::string>();
    for (const auto &merged : events) {
        marks[merged.event_.process_] += eventSpan(merged, span);
    }
    auto rows = std::string();
    for (const auto &[process, content] : marks) {
        rows += fmt::format("<div class=\"row\"><div class=\"name\">{}</div><div class=\"axis\">{}</div></div>\n",
            escapeHtml(process), content);
    }
    return rows;
}

auto eventRow(const MergedEvent &merged, const Span &span) -> std::string
{
    const auto &event = merged.event_;
    auto row = fmt::format("<tr><td>{:.3f}</td>", millisecondsAfter(span.from_, merged.alignedMicros_));
    for (const auto &cell : {event.process_, attemptName(event), event.step_, event.peer_, event.detail_}) {
        row += fmt::format("<td>{}</td>", escapeHtml(cell));
    }
    return row + "</tr>\n";
}

} // namespace

auto escapeHtml(std::string_view text) -> std::string
{
    static const auto replacements = std::map<char, std::string_view> {
        {'&', "&amp;"}, {'<', "&lt;"}, {'>', "&gt;"}, {'"', "&quot;"}, {'\'', "&#39;"}};
    auto escaped = std::string();
    for (const auto character : text) {
        const auto replacement = replacements.find(character);
        if (replacement == replacements.end()) {
            escaped += character;
        } else {
            escaped += replacement->second;
        }
    }
    return escaped;
}

auto textTable(const std::vector<MergedEvent> &events) -> std::string
{
    const auto span = spanOf(events);
    auto table = fmt::format(
        "{:>12}  {:<28}  {:<24}  {:<12}  {:<20}  {}\n", "ms", "process", "attempt", "step", "peer", "detail");
    for (const auto &merged : events) {
        const auto &event = merged.event_;
        table += fmt::format("{:>12.3f}  {:<28}  {:<24}  {:<12}  {:<20}  {}\n",
            millisecondsAfter(span.from_, merged.alignedMicros_), replaceControlCharacters(event.process_),
            replaceControlCharacters(attemptName(event)), replaceControlCharacters(event.step_),
            replaceControlCharacters(event.peer_), replaceControlCharacters(event.detail_));
    }
    return table;
}

auto htmlPage(const std::vector<MergedEvent> &events, std::string_view title) -> std::string
{
    const auto span = spanOf(events);
    auto page = fmt::format(pageHead, escapeHtml(title)) + axisRow(span) + processRows(events, span);
    page += "<table><tr><th>ms</th><th>process</th><th>attempt</th><th>step</th><th>peer</th><th>detail</th></tr>\n";
    for (const auto &merged : events) {
        page += eventRow(merged, span);
    }
    return page + "</table></body></html>\n";
}

} // namespace jasminewood::observe
