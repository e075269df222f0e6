#ifndef BALSAMPORT_FILTERS_FIRST_ANSWER_H
#define BALSAMPORT_FILTERS_FIRST_ANSWER_H

#include <balsamport/filters/request_context.h>

#include <functional>
#include <optional>
#include <string>

namespace balsamport {

/// @return true where another gateway asks for an answer that this one may hold
[[nodiscard]] bool isAnswerQuery(const IncomingRequest &request);

/// @brief Asks the gateway that won a key for the first answer. Nothing is run there for it.
/// @param address IP:PORT of that gateway
/// @param callback gets the answer; nothing where that gateway does not hold it
void fetchFirstAnswer(const ContextPtr &context, const BackendClient &backend,
                      const std::string &address,
                      std::function<void(std::optional<HttpResponse>)> callback);

} // namespace balsamport

#endif
