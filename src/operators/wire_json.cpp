#include "operators/wire_json.h"

#include "poplarspool/base/bounded_json.h"

namespace poplarspool::operators {

using nlohmann::json;
using nlohmann::ordered_json;

namespace {

/// Calls `read` with the parsed text. A syntax error, or a missing or mistyped field, gives an
/// error with `code`.
template <class T, class Read>
result<T> parseWith(std::string_view text, error_code code, Read read)
{
    try {
        return read(parseJsonOrThrow(text));
    } catch (const json::exception &failure) {
        return notRun(code, failure.what());
    }
}

} // namespace

std::string dumpJson(const ordered_json &value)
{
    return value.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

ordered_json jsonOf(const std::vector<diagnostic> &diagnostics)
{
    ordered_json list = ordered_json::array();
    for (const diagnostic &found : diagnostics)
        list.push_back({{"file", found.file},
                        {"line", found.line},
                        {"column", found.column},
                        {"key", found.key},
                        {"message", found.message}});
    return {{"faults", std::move(list)}};
}

std::vector<diagnostic> parseDiagnostics(std::string_view text)
{
    const auto read = [](const json &value) {
        std::vector<diagnostic> diagnostics;
        for (const json &found : value.at("faults"))
            diagnostics.push_back(
                    {found.at("file").get<std::string>(), found.at("line").get<std::uint32_t>(),
                     found.at("column").get<std::uint32_t>(), found.at("key").get<std::string>(),
                     found.at("message").get<std::string>()});
        return diagnostics;
    };
    const auto diagnostics = parseWith<std::vector<diagnostic>>(text, error_code::Broken, read);
    return succeeded(diagnostics) ? valueOf(diagnostics) : std::vector<diagnostic>{};
}

std::string textOf(const apply_request &request)
{
    ordered_json value = {{"inventory", request.inventoryText},
                          {"rules", request.rulesText},
                          {"nonce", request.nonce},
                          {"author", request.author}};
    if (request.ifVersion)
        value["if_version"] = *request.ifVersion;
    return dumpJson(value);
}

result<apply_request> parseApplyRequest(std::string_view text)
{
    const auto read = [](const json &value) {
        apply_request request{value.at("inventory").get<std::string>(),
                              value.at("rules").get<std::string>(),
                              value.at("nonce").get<std::string>(),
                              value.at("author").get<std::string>(), std::nullopt};
        if (value.contains("if_version"))
            request.ifVersion = value.at("if_version").get<std::uint64_t>();
        return request;
    };
    return parseWith<apply_request>(text, error_code::BadRequest, read);
}

std::string textOf(const apply_reply &reply)
{
    return dumpJson({{"version", reply.version}});
}

result<apply_reply> parseApplyReply(std::string_view text)
{
    const auto read = [](const json &value) {
        return apply_reply{value.at("version").get<std::uint64_t>()};
    };
    return parseWith<apply_reply>(text, error_code::Broken, read);
}

std::string textOf(const stored_config &config)
{
    return dumpJson({{"version", config.version},
                     {"author", config.head.author},
                     {"wall_ms", config.head.wallMs},
                     {"nonce", config.head.nonce},
                     {"inventory_sha", config.head.inventorySha},
                     {"rules_sha", config.head.rulesSha},
                     {"inventory", config.inventoryText},
                     {"rules", config.rulesText}});
}

result<stored_config> parseStoredConfig(std::string_view text)
{
    const auto read = [](const json &value) {
        stored_config config;
        config.version = value.at("version").get<std::uint64_t>();
        config.head.author = value.at("author").get<std::string>();
        config.head.wallMs = value.at("wall_ms").get<std::int64_t>();
        config.head.nonce = value.at("nonce").get<std::string>();
        config.head.inventorySha = value.at("inventory_sha").get<std::string>();
        config.head.rulesSha = value.at("rules_sha").get<std::string>();
        config.inventoryText = value.at("inventory").get<std::string>();
        config.rulesText = value.at("rules").get<std::string>();
        return config;
    };
    return parseWith<stored_config>(text, error_code::Broken, read);
}

error errorOfReply(const http_reply &reply)
{
    const auto read = [](const json &value) {
        const json &details = value.at("error");
        const bool isNotRun = details.at("verdict").get<std::string>() == nameOf(verdict::NotRun);
        return error{errorCodeOf(details.at("code").get<std::string>()),
                     details.at("message").get<std::string>(),
                     isNotRun ? verdict::NotRun : verdict::MayHaveRun};
    };
    try {
        return read(parseJsonOrThrow(reply.body));
    } catch (const json::exception &) {
        return mayHaveRun(error_code::Broken,
                          "HTTP status " + std::to_string(reply.status)
                                  + " without an error description");
    }
}

} // namespace poplarspool::operators
