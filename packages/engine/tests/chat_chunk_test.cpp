#include "jasminewood/engine/chat_chunk.h"

#include <nlohmann/json.hpp>

#include "jasminewood/testkit/property.h"

using namespace jasminewood;
using jasminewood::engine::ChatChunk;
using jasminewood::engine::CompletionMetadata;
using jasminewood::engine::parseChunk;
using jasminewood::engine::TokenUsage;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;
using nlohmann::json;

namespace
{

const auto metadata = CompletionMetadata {.id_ = "chatcmpl-1", .model_ = "m", .created_ = 1700000000};

auto failureStepOf(std::string_view data) -> std::string
{
    const auto chunk = parseChunk(data);
    return chunk ? "no failure" : chunk.failure().step_;
}

const testkit::TestSuite parsing = {"a chunk from an engine",
    {
        section("with a choice",
            {
                test("is parsed into its text and finish reason",
                    [] {
                        const auto text
                            = parseChunk(R"({"choices":[{"delta":{"content":"hi"},"finish_reason":null}]})");
                        check(text && *text == ChatChunk {.text_ = "hi"});
                        const auto last = parseChunk(R"({"choices":[{"delta":{},"finish_reason":"length"}]})");
                        check(last && *last == ChatChunk {.finishReason_ = "length"});
                        const auto role = parseChunk(R"({"choices":[{"delta":{"role":"assistant"}}]})");
                        check(role && *role == ChatChunk {});
                    }),
            }),
        section("without a choice",
            {
                test("is parsed into its usage",
                    [] {
                        const auto chunk
                            = parseChunk(R"({"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":5}})");
                        check(chunk && chunk->usage_ == TokenUsage {.promptTokens_ = 3, .completionTokens_ = 5});
                    }),
            }),
        section("that reports an error or is malformed",
            {
                // Guards against a truncated response that is taken for a complete one.
                test("fails to parse",
                    [] {
                        check(parseChunk(R"({"error":{"message":"out of memory"}})").failure().reason_
                            == "out of memory");
                        check(failureStepOf(R"({"error":{"message":"x"}})") == "engine");
                        check(failureStepOf(R"({"error":"x"})") == "engine"
                            && failureStepOf(R"({"error":5})") == "engine");
                        check(failureStepOf(R"({"object":"error","message":"x"})") == "engine");
                        check(failureStepOf("{}") == "read" && failureStepOf("[]") == "read"
                            && failureStepOf("{\"choices\":[") == "read");
                    }),
                property("causes no exception for arbitrary bytes",
                    [](const std::string &bytes) {
                        RC_ASSERT(failureStepOf(bytes) != "engine");
                    }),
            }),
    }};

const testkit::TestSuite building = {"a response to the caller",
    {
        section("that is streamed",
            {
                // Guards against text that the router alters when it re-encodes a chunk.
                property("is parsed back into the same chunks",
                    [](std::uint32_t prompt, std::uint32_t completion) {
                        const auto text = *rc::gen::container<std::string>(rc::gen::inRange<char>(0, 127));
                        const auto chunk = ChatChunk {.text_ = text,
                            .finishReason_ = prompt % 2 == 0 ? std::nullopt : std::make_optional<std::string>("stop"),
                            .usage_ = TokenUsage {.promptTokens_ = prompt, .completionTokens_ = completion}};
                        const auto parsed = parseChunk(engine::buildChunk(metadata, chunk));
                        RC_ASSERT(bool(parsed));
                        RC_ASSERT(*parsed == chunk);
                    }),
                test("has the members that API clients require",
                    [] {
                        const auto first = json::parse(engine::buildRoleChunk(metadata));
                        check(first["choices"][0]["delta"]["role"] == "assistant");
                        const auto chunk = json::parse(engine::buildChunk(metadata, ChatChunk {.text_ = "hi"}));
                        check(chunk["object"] == "chat.completion.chunk" && chunk["id"] == "chatcmpl-1");
                        check(chunk["created"] == 1700000000 && chunk["model"] == "m");
                        check(chunk["choices"]
                            == json::array(
                                {{{"index", 0}, {"delta", {{"content", "hi"}}}, {"finish_reason", nullptr}}}));
                    }),
            }),
        section("that is not streamed",
            {
                test("has the text, the finish reason and the usage",
                    [] {
                        const auto usage = TokenUsage {.promptTokens_ = 3, .completionTokens_ = 5};
                        const auto completion = json::parse(engine::buildCompletion(metadata, "hi", "stop", usage));
                        check(completion["object"] == "chat.completion");
                        check(completion["choices"][0]["message"] == json({{"role", "assistant"}, {"content", "hi"}}));
                        check(completion["choices"][0]["finish_reason"] == "stop");
                        check(completion["usage"]["total_tokens"] == 8);
                    }),
            }),
        section("whose text is cut at any byte",
            {
                // Guards against a character that is replaced by U+FFFD because a frame ends within it.
                test("is split between characters",
                    [] {
                        const auto text = std::string("a\xC4\x8D\xE2\x82\xAC\xF0\x9F\xAA\x9F");
                        const auto expectedLengths = std::vector<std::size_t> {0, 1, 1, 3, 3, 3, 6, 6, 6, 6, 10};
                        for (auto size = std::size_t(0); size <= text.size(); ++size) {
                            check(engine::completeUtf8Length(text.substr(0, size)) == expectedLengths[size]);
                        }
                    }),
            }),
    }};

} // namespace
