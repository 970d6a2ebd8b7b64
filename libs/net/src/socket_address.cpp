#include "socket_address.hpp"

#include <netinet/in.h>

#include <cstring>

namespace guavaramp {

sockaddr_storage to_sockaddr(const endpoint& value, socklen_t& size) noexcept {
    sockaddr_storage storage{};
    if (is_ipv4(value.address)) {
        sockaddr_in v4{};
        v4.sin_family = AF_INET;
        v4.sin_port = htons(value.port);
        v4.sin_addr.s_addr = htonl(to_ipv4(value.address));
        std::memcpy(&storage, &v4, sizeof v4);
        size = sizeof v4;
        return storage;
    }
    sockaddr_in6 v6{};
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(value.port);
    std::memcpy(&v6.sin6_addr, value.address.bytes.data(), value.address.bytes.size());
    std::memcpy(&storage, &v6, sizeof v6);
    size = sizeof v6;
    return storage;
}

endpoint from_sockaddr(const sockaddr_storage& storage) noexcept {
    endpoint value;
    if (storage.ss_family == AF_INET) {
        sockaddr_in v4{};
        std::memcpy(&v4, &storage, sizeof v4);
        value.address = from_ipv4(ntohl(v4.sin_addr.s_addr));
        value.port = ntohs(v4.sin_port);
        return value;
    }
    sockaddr_in6 v6{};
    std::memcpy(&v6, &storage, sizeof v6);
    std::memcpy(value.address.bytes.data(), &v6.sin6_addr, value.address.bytes.size());
    value.port = ntohs(v6.sin6_port);
    return value;
}

}  // namespace guavaramp
