#ifndef ALMONDGATE_TESTS_FREE_ADDRESS_HPP
#define ALMONDGATE_TESTS_FREE_ADDRESS_HPP

#include "almondgate/core/address.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace almondgate::testing {

/// Returns a loopback address with a port that is free at the time of the call.
/// The port isn't reserved: another process may bind it before the caller does.
inline core::Address freeAddress() {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in in{};
  in.sin_family = AF_INET;
  in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  ::bind(fd, reinterpret_cast<sockaddr *>(&in), sizeof(in));
  socklen_t n = sizeof(in);
  ::getsockname(fd, reinterpret_cast<sockaddr *>(&in), &n);
  ::close(fd);
  return {"127.0.0.1", ntohs(in.sin_port)};
}

} // namespace almondgate::testing

#endif
