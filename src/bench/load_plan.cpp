#include "bench/load_plan.h"

#include "bench/command.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/caller/limits.h"
#include "standin/tokens.h"

namespace poplarspool::bench {

namespace {

/// Independent random choices for one request; each has its own hash seed.
enum class choice : std::uint64_t { Kind = 1, Name, Mix, Stream, Key, Workspace };

std::uint64_t drawOf(std::uint64_t number, choice which)
{
    return hashOf(std::to_string(number), static_cast<std::uint64_t>(which));
}

/// @returns True for that share of all request numbers.
bool isInShare(std::uint64_t number, choice which, double share)
{
    constexpr std::uint64_t steps = 1'000'000;
    return double(drawOf(number, which) % steps) < share * double(steps);
}

template <class Value>
const Value &pick(const std::vector<Value> &values, std::uint64_t number, choice which)
{
    return values[drawOf(number, which) % values.size()];
}

const mix_entry &entryOf(const load_plan &plan, std::uint64_t number,
                         std::chrono::nanoseconds elapsed)
{
    if (!plan.shift)
        return pick(plan.mix, number, choice::Mix);
    const auto turn = static_cast<std::size_t>(elapsed / *plan.shift);
    return plan.mix[turn % plan.mix.size()];
}

/// @returns A prompt whose first half is the same for all requests of the workspace, as with shared
///          templates and files, so that prefix caches get hits.
std::string promptOf(const load_plan &plan, std::uint64_t number, const std::string &workspace,
                     std::uint32_t tokens)
{
    const std::size_t size = std::size_t{tokens} * standin::bytesPerToken;
    const std::string shared = "standing file of " + workspace + "; ";
    std::string prompt;
    while (prompt.size() + shared.size() <= size / 2)
        prompt += shared;
    const std::string own = "request " + plan.run + "-" + std::to_string(number) + "; ";
    prompt += own;
    if (prompt.size() < size)
        prompt.resize(size, '.');
    return prompt;
}

bool isServiceCall(const load_plan &plan, std::uint64_t number)
{
    if (plan.services.empty())
        return false;
    return plan.models.empty() || isInShare(number, choice::Kind, plan.serviceShare);
}

std::uint32_t parseTokenCount(const std::string &text)
{
    const double number = parseNumber(text);
    if (number < 1 || number > config::maxOutputTokens)
        throw usage_error("\"" + text + "\" is not a valid token count");
    return static_cast<std::uint32_t>(number);
}

} // namespace

std::vector<mix_entry> parseMix(std::string_view text)
{
    std::vector<mix_entry> mix;
    for (const std::string &part : splitNonEmpty(text, ',')) {
        const std::vector<std::string> lengths = splitNonEmpty(part, ':');
        if (lengths.size() != 2)
            throw usage_error("\"" + part + "\" is not PROMPT:OUTPUT");
        mix.push_back({parseTokenCount(lengths[0]), parseTokenCount(lengths[1])});
    }
    if (mix.empty())
        throw usage_error("the mix is empty");
    return mix;
}

load_call makeCall(const load_plan &plan, std::uint64_t number, std::chrono::nanoseconds elapsed)
{
    load_call call;
    call.timeLimit = plan.timeLimit;
    call.workspace =
            "workspace-" + std::to_string(drawOf(number, choice::Workspace) % plan.workspaces);
    if (isServiceCall(plan, number)) {
        call.service = pick(plan.services, number, choice::Name);
        call.servicePath = plan.servicePath;
        call.prompt = plan.run + "-" + std::to_string(number);
        if (isInShare(number, choice::Key, plan.keyShare))
            call.idempotencyKey = call.prompt;
        return call;
    }
    const mix_entry &entry = entryOf(plan, number, elapsed);
    call.model = pick(plan.models, number, choice::Name);
    call.prompt = promptOf(plan, number, call.workspace, entry.promptTokens);
    call.maxTokens = entry.outputTokens;
    call.isStreamed = isInShare(number, choice::Stream, plan.streamShare);
    return call;
}

} // namespace poplarspool::bench
