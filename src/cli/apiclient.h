#pragma once

#include "commandline.h"
#include "eventloop.h"
#include "exitcode.h"
#include "httpclient.h"

#include <nlohmann/json.hpp>
#include <string>
#include <system_error>

namespace Primrosefork {

/** What a node answered. */
struct ApiAnswer {
    std::error_code error; ///< Set when there is no answer.
    int status = 0;
    std::string text;
    std::string writeId; ///< Of a change.

    [[nodiscard]] auto isOk() const -> bool { return !this->error && this->status == HttpStatus::ok; }

    /** Returns the text as JSON. */
    [[nodiscard]] auto body() const -> nlohmann::json;

    /** Returns the exit code that the answer stands for. */
    [[nodiscard]] auto exitCode() const -> ExitCode;
};

/**
 * Calls the administration API of one node, one call after the other.
 */
class ApiClient {
public:
    explicit ApiClient(const CommandLine&);

    auto get(const std::string& path) -> ApiAnswer;

    /** Sends a change under the write id of the command line, or a new one. */
    auto change(const std::string& method, const std::string& path, const nlohmann::json& body) -> ApiAnswer;

private:
    auto call(const HttpRequest&) -> ApiAnswer;

    const CommandLine& line;
    EventLoop loop;
    HttpClient client;
};

} // namespace Primrosefork
