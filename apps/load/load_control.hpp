#pragma once

#include "flow_engine.hpp"
#include "request_engine.hpp"

#include <guavaramp/base/error.hpp>
#include <guavaramp/net/http_router.hpp>

#include <string>

namespace guavaramp {

/// Reads `{"domain": ["address:port", ...]}` and adds the entry VMs. Errors: `not_found`, `malformed`.
[[nodiscard]] result<void> add_entries_from_file(flow_engine& engine, const std::string& path);
[[nodiscard]] result<void> add_entries_from_file(request_engine& engine, const std::string& path);

/// Adds the control routes: `POST /groups`, `POST /groups/close`, `POST /fabric/add`, `POST /fabric/remove`,
/// `GET /stats`, `GET /broken`, `GET /timeline`. `engine` outlives the router's server.
void add_control_routes(flow_engine& engine, http_router& router);

/// Adds the control routes: `POST /streams`, `POST /fabric/add`, `POST /fabric/remove`, `GET /stats`,
/// `GET /timeline`, `GET /ids?result=R`. `engine` outlives the router's server.
void add_control_routes(request_engine& engine, http_router& router);

}  // namespace guavaramp
