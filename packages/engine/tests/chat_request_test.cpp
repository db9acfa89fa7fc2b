#include "jasminewood/engine/chat_request.h"

#include <nlohmann/json.hpp>

#include "jasminewood/testkit/property.h"

using namespace jasminewood;
using jasminewood::engine::parseChatRequest;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;
using nlohmann::json;

namespace
{

const std::string plainBody = R"({"model":"m","messages":[{"role":"user","content":"hello"}]})";

auto failureOf(const std::string &body) -> std::string
{
    const auto request = parseChatRequest(body);
    return request ? "no failure" : request.failure().step_ + ": " + request.failure().reason_;
}

auto mentions(const std::string &failure, const std::string &member) -> bool
{
    return failure.starts_with("validate: ") && failure.find(member) != std::string::npos;
}

auto withMember(const std::string &name, const json &value) -> std::string
{
    auto body = json::parse(plainBody);
    body[name] = value;
    return body.dump();
}

auto withMessages(const std::vector<std::string> &texts) -> std::string
{
    auto messages = json::array();
    for (const auto &text : texts) {
        messages.push_back({{"role", "user"}, {"content", text}});
    }
    return withMember("messages", messages);
}

const testkit::TestSuite parsing = {"the body of a chat request",
    {
        section("that is valid",
            {
                test("is parsed into model, stream flag, token limit and last user text",
                    [] {
                        const auto request = parseChatRequest(R"({"model":"m","stream":true,"max_tokens":7,"messages":[
                            {"role":"system","content":"s"},{"role":"user","content":"first"},
                            {"role":"user","content":[{"type":"text","text":"a"},{"type":"image_url"},{"text":"b"}]},
                            {"role":"assistant","content":null}]})");
                        check(request && request->model_ == "m" && request->stream_);
                        check(request->maximumOutputTokens_ == 7U && request->lastUserMessage_ == "ab");
                    }),
                test("is not streamed and has no token limit by default",
                    [] {
                        const auto request = parseChatRequest(plainBody);
                        check(request && !request->stream_ && !request->maximumOutputTokens_);
                    }),
                test("uses max_completion_tokens if it has both token limits",
                    [] {
                        auto body = json::parse(withMember("max_tokens", 7));
                        body["max_completion_tokens"] = 9;
                        check(parseChatRequest(body.dump())->maximumOutputTokens_ == 9U);
                    }),
            }),
        section("that is invalid",
            {
                // Guards against an error message from which the caller cannot tell what is invalid.
                test("is rejected with the name of the invalid member",
                    [] {
                        check(mentions(failureOf("[]"), "JSON object") && mentions(failureOf("{"), "JSON object"));
                        check(mentions(failureOf(withMember("model", "")), "\"model\""));
                        check(mentions(failureOf(withMember("model", std::string(257, 'm'))), "\"model\""));
                        check(mentions(failureOf(withMember("messages", json::array())), "\"messages\""));
                        check(mentions(failureOf(withMember("messages", {{{"role", "user"}}, {{"content", "x"}}})),
                            "\"messages\"[1] has no \"role\""));
                        check(mentions(
                            failureOf(withMember("messages", {{{"role", "user"}, {"content", 1}}})), "\"content\""));
                        check(mentions(failureOf(withMember("stream", "yes")), "\"stream\""));
                        check(mentions(failureOf(withMember("n", 2)), "\"n\""));
                        check(mentions(failureOf(withMember("max_tokens", -1)), "\"max_tokens\""));
                        check(mentions(failureOf(withMember("max_tokens", 1.5)), "\"max_tokens\""));
                    }),
                // Guards against stack exhaustion by deep nesting and memory exhaustion by large bodies.
                test("is rejected if it is too large or too deeply nested",
                    [] {
                        const auto deep = std::string(1U << 20U, '[') + std::string(1U << 20U, ']');
                        check(mentions(failureOf(R"({"model":"m","x":)" + deep + "}"), "deep"));
                        check(mentions(failureOf(std::string(engine::maximumBodyBytes + 1, ' ')), "bytes"));
                        check(mentions(failureOf(withMessages(std::vector<std::string>(4097, "x"))), "4096"));
                    }),
                property("is parsed or rejected without an exception after any two bytes change",
                    [] {
                        auto bytes = plainBody;
                        for (auto change = 0; change < 2; ++change) {
                            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
                        }
                        const auto request = parseChatRequest(bytes);
                        RC_ASSERT(request || request.failure().step_ == "validate");
                    }),
            }),
        section("whose prompt shares a prefix with another prompt",
            {
                // Guards against lost or wrong prefix affinity: prompts with equal prefixes must be routed to the same
                // upstream.
                test("has the same prefix hash if and only if the first KiB is equal",
                    [] {
                        const auto shared = std::string(2000, 'x');
                        const auto hash = [](const std::vector<std::string> &texts) {
                            return parseChatRequest(withMessages(texts))->prefixHash_;
                        };
                        check(hash({shared, "a"}) == hash({shared, "b"}));
                        check(hash({shared + "a"}) == hash({shared + "b"}));
                        check(hash({"a" + shared}) != hash({"b" + shared}));
                        check(hash({"a", "b"}) != hash({"a", "c"}));
                        check(hash({"ab", ""}) != hash({"a", "b"}));
                    }),
            }),
    }};

const testkit::TestSuite modifying = {"a chat request for the engine",
    {
        section("resumed after delivered text",
            {
                // Guards against an engine that restarts the response, so that the caller receives its beginning twice.
                test("ends in an assistant message that the engine continues",
                    [] {
                        const auto body = json::parse(*engine::withResumedOutput(withMember("seed", 3), "so far", 2));
                        check(body["messages"].size() == 2 && body["seed"] == 3);
                        check(body["messages"][1] == json({{"role", "assistant"}, {"content", "so far"}}));
                        check(body["continue_final_message"] == true && body["add_generation_prompt"] == false);
                    }),
                // Guards against a response that exceeds the caller's token limit further with each resumption.
                test("has a token limit reduced by the delivered tokens, but at least 1",
                    [] {
                        const auto reduced
                            = json::parse(*engine::withResumedOutput(withMember("max_tokens", 10), "so far", 2));
                        check(reduced["max_tokens"] == 8);
                        const auto exhausted
                            = json::parse(*engine::withResumedOutput(withMember("max_tokens", 2), "so far", 2));
                        check(exhausted["max_tokens"] == 1);
                    }),
                test("appends to the assistant message that the caller asked to continue",
                    [] {
                        auto continued = json::parse(plainBody);
                        continued["messages"].push_back({{"role", "assistant"}, {"content", "Once "}});
                        continued["continue_final_message"] = true;
                        const auto body = json::parse(*engine::withResumedOutput(continued.dump(), "upon", 1));
                        check(body["messages"].size() == 2 && body["messages"][1]["content"] == "Once upon");
                    }),
                test("is unchanged without delivered text",
                    [] {
                        check(*engine::withResumedOutput(plainBody, "", 0) == plainBody);
                    }),
                test("fails for text that is not UTF-8",
                    [] {
                        const auto body = engine::withResumedOutput(plainBody, "\xC3", 1);
                        check(!body && body.failure().step_ == "resume");
                    }),
            }),
        section("with a priority and streaming",
            {
                test("contains both and all its original members",
                    [] {
                        const auto original = withMember("stream_options", {{"continuous_usage_stats", true}});
                        const auto body = json::parse(*engine::withStreaming(*engine::withPriority(original, 2)));
                        check(body["priority"] == 2 && body["stream"] == true && body["model"] == "m");
                        check(body["stream_options"]
                            == json({{"continuous_usage_stats", true}, {"include_usage", true}}));
                    }),
                test("fails for a body that is not a JSON object",
                    [] {
                        check(engine::withPriority("1", 2).failure().step_ == "priority");
                        check(engine::withStreaming("1").failure().step_ == "stream");
                        check(engine::withResumedOutput("1", "x", 1).failure().step_ == "resume");
                    }),
            }),
    }};

} // namespace
