#pragma once

#include <cstddef>
#include <string>

/** Requests, answers and documents in the platform's formats, for tests and measurements. */
namespace Primrosefork::Testkit {

/** Returns a request to the route at \a prefix with the attempt id \a id, the header lines \a more and the credential \a credential. */
[[nodiscard]] auto makeRequest(const std::string& prefix, const std::string& id, const std::string& more = "", const std::string& credential = "k1") -> std::string;

/** Returns a header line that names the parts of a prompt, one of which is \a part. */
[[nodiscard]] auto promptParts(const std::string& part) -> std::string;

/** Returns the attempt id of \a request. */
[[nodiscard]] auto requestIdOf(const std::string& request) -> std::string;

/** Returns the event after which the caller wants the stream of \a request to go on; 0 for a whole stream. */
[[nodiscard]] auto resumePointOf(const std::string& request) -> int;

/** Returns the status of \a answer, or 0 when it has none yet. */
[[nodiscard]] auto statusOf(const std::string& answer) -> int;

/** Returns the body of \a answer without the framing of its chunks. */
[[nodiscard]] auto bodyOf(const std::string& answer) -> std::string;

/** Returns whether \a answer has arrived up to its announced end. */
[[nodiscard]] auto isCompleteAnswer(const std::string& answer) -> bool;

/** Returns a complete answer to \a request with \a status, \a body and the header lines \a more. */
[[nodiscard]] auto answerTo(const std::string& request, int status, const std::string& body, const std::string& more = "") -> std::string;

/** Returns an answer that says that \a request was not run and asks for a pause of \a seconds. */
[[nodiscard]] auto pauseAnswer(const std::string& request, double seconds) -> std::string;

/** Returns an answer that says that \a request was not run. */
[[nodiscard]] auto refusalAnswer(const std::string& request) -> std::string;

/** Returns the header line with which a server says that it leaves. */
[[nodiscard]] auto leavingLine() -> std::string;

/** Returns the head of an event stream in answer to \a request with the header lines \a more. */
[[nodiscard]] auto streamHead(const std::string& request, const std::string& more = "") -> std::string;

/** Returns \a text as a chunk of a body; an empty text makes the last chunk. */
[[nodiscard]] auto chunk(const std::string& text) -> std::string;

[[nodiscard]] auto configurationKey() -> std::string;
[[nodiscard]] auto registrationKey(const std::string& server) -> std::string;

/** Returns the operator's configuration with \a version, the credentials in \a keys, a JSON list, and \a moreWorkspaces workspaces that send nothing. */
[[nodiscard]] auto configurationDocument(int version, const std::string& keys, std::size_t moreWorkspaces = 0) -> std::string;

/** Returns the registration of a server of \a service at \a address in \a state, with the further JSON members \a more. */
[[nodiscard]] auto registrationDocument(const std::string& service, const std::string& address, const std::string& state = "ready", const std::string& more = "") -> std::string;

} // namespace Primrosefork::Testkit
