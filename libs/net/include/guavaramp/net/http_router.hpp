#pragma once

#include <guavaramp/net/http.hpp>

#include <map>
#include <string>
#include <utility>

namespace guavaramp {

/// Dispatches requests to handlers by method and path. All routes have to be added before the server starts;
/// afterwards `handle` is thread-safe.
class http_router {
public:
    /// Adds a route. A `path` that ends in "/" also matches every path that begins with it; the longest
    /// matching path is used.
    void add(const std::string& method, const std::string& path, http_handler handler);

    /// Calls the handler of the matching route. If there is none, responds with a JSON error body and status
    /// 404 (no route has the path) or 405 (the matching path has no handler for the method).
    void handle(http_request request, const http_responder& respond) const;

private:
    std::map<std::string, std::map<std::string, http_handler>> handlers_by_path_;
};

/// Returns the response for an error. Its status comes from the table of error kinds; its body is
/// {"error": kind, "message": text}. Thread-safe.
[[nodiscard]] http_response error_response(const error& failure);

}  // namespace guavaramp
