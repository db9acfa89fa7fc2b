#include "jasminewood/ini/config_error.h"
#include "jasminewood/ini/document.h"
#include "jasminewood/testkit/property.h"

using namespace jasminewood;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

auto failsAt(const std::string &text, const std::string &location) -> bool
{
    const auto document = ini::parse(text, "f.ini");
    return !document && document.failure().step_ == "parse" && document.failure().peer_ == location;
}

const testkit::TestSuite suite = {"an INI text",
    {
        section("that is well formed",
            {
                // Guards against lost arguments and against two sections of the same name that are merged.
                test("is parsed into its sections in order, with arguments and line numbers",
                    [] {
                        const auto document
                            = ini::parse("; head\n[class \"quote\"]\ntier = 0\n\n[class quote]\n[pool gpu]", "f.ini");
                        check(bool(document));
                        const auto &sections = document->sections_;
                        check(sections.size() == 3);
                        check(sections[0].argument_ == "quote" && sections[0].line_ == 2);
                        check(sections[0].entries_.front() == ini::Entry {.key_ = "tier", .value_ = "0", .line_ = 3});
                        check(sections[1].argument_ == "quote" && sections[1].line_ == 5);
                        check(ini::heading(sections[2]) == "pool gpu" && sections[2].entries_.empty());
                    }),
                // Guards against names that are truncated at inih's internal limit of 50 bytes.
                test("keeps long headings and long values unchanged",
                    [] {
                        const auto name = std::string(120, 'n');
                        const auto value = std::string(3000, 'v');
                        const auto document = ini::parse("[class " + name + "]\nkey = " + value + "\n", "f.ini");
                        check(bool(document));
                        check(document->sections_[0].argument_ == name);
                        check(document->sections_[0].entries_[0].value_ == value);
                    }),
                // Guards against errors on a file whose editor writes a byte order mark or indents headings.
                test("may begin with a byte order mark and indent a heading after an empty section",
                    [] {
                        const auto document = ini::parse("\xEF\xBB\xBF[a]\n  [b]\n  k = 1 ; remark\n", "f.ini");
                        check(bool(document) && document->sections_.size() == 2);
                        check(document->sections_[1].name_ == "b" && document->sections_[1].line_ == 2);
                        check(document->sections_[1].entries_[0].value_ == "1");
                    }),
                // Guards against wrong line numbers after a continuation line, and against a duplicate key that is
                // treated as a continuation.
                test("joins continuation lines and keeps duplicate keys separate",
                    [] {
                        const auto document = ini::parse("[a]\nk = 1,\n  2,\n\n  3\nk = 4\r\n", "f.ini");
                        check(bool(document));
                        const auto &entries = document->sections_[0].entries_;
                        check(entries.size() == 2);
                        check(entries[0] == ini::Entry {.key_ = "k", .value_ = "1, 2, 3", .line_ = 2});
                        check(entries[1] == ini::Entry {.key_ = "k", .value_ = "4", .line_ = 6});
                    }),
                // Guards against wrong line numbers after comments, blank lines and long lines.
                property("has the correct line number for every entry",
                    [](const std::vector<std::uint8_t> &shape) {
                        auto text = std::string("[s]\n");
                        auto expected = std::vector<int>();
                        auto line = 1;
                        for (const auto byte : shape) {
                            ++line;
                            if (byte % 3 == 0) {
                                text += "# comment\n";
                            } else if (byte % 3 == 1) {
                                text += "\n";
                            } else {
                                text += "k = " + std::string(byte * 10, 'x') + "\n";
                                expected.push_back(line);
                            }
                        }
                        const auto document = ini::parse(text, "f.ini");
                        RC_ASSERT(bool(document));
                        auto found = std::vector<int>();
                        for (const auto &entry : document->sections_[0].entries_) {
                            found.push_back(entry.line_);
                        }
                        RC_ASSERT(found == expected);
                    }),
            }),
        section("with a syntax error",
            {
                // Guards against an error with the wrong line number.
                test("fails at the exact line of the first error",
                    [] {
                        check(failsAt("[a]\nk = 1\nnonsense\n", "f.ini:3"));
                        check(failsAt("[a\nk = 1\n", "f.ini:1"));
                        check(failsAt("k = 1\n", "f.ini:1"));
                        check(failsAt("[a b c]\n", "f.ini:1"));
                        check(failsAt("[a]\n= 1\n", "f.ini:2"));
                        check(failsAt("[a]\n\nk = " + std::string(5000, 'v') + "\n", "f.ini:3"));
                        check(failsAt(std::string("[a]\nk = \0x\n", 11), "f.ini:2"));
                    }),
            }),
        section("with a configuration error",
            {
                // Guards against a change of the format, which operators' tools parse.
                test("is reported with file, line, section, key, expected and actual value",
                    [] {
                        const auto configError = ini::ConfigError {.file_ = "f.ini",
                            .line_ = 3,
                            .section_ = "class quote",
                            .key_ = "tier",
                            .expected_ = "0 to 3",
                            .found_ = "\"7\""};
                        check(
                            ini::toString(configError) == "f.ini:3: [class quote] tier: expected 0 to 3, found \"7\"");
                    }),
            }),
    }};

} // namespace
