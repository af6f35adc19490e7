#include "almondgate/core/address.hpp"
#include "almondgate/core/digest.hpp"
#include "almondgate/core/error.hpp"
#include "almondgate/core/invariant.hpp"
#include "almondgate/core/size.hpp"
#include "almondgate/core/time_ms.hpp"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <vector>

namespace almondgate::core {

namespace {

std::string toHex(const unsigned char *data, size_t n) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string out;
  out.reserve(n * 2);
  for (size_t i = 0; i < n; ++i) {
    out.push_back(Digits[data[i] >> 4]);
    out.push_back(Digits[data[i] & 15]);
  }
  return out;
}

bool isIpAddress(const std::string &ip) {
  unsigned char buf[sizeof(in6_addr)];
  return inet_pton(AF_INET, ip.c_str(), buf) == 1 ||
         inet_pton(AF_INET6, ip.c_str(), buf) == 1;
}

std::function<void(const char *)> &invariantHandler() {
  static std::function<void(const char *)> handler;
  return handler;
}

double fraction(int64_t part, int64_t whole) {
  return whole > 0 ? double(part) / double(whole) : 0.0;
}

} // namespace

TimeMs monotonicNow() {
  // CLOCK_BOOTTIME also counts the time in which the VM is suspended, so that
  // leases expire during a suspension.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  constexpr int64_t MsPerSecond = 1000;
  constexpr int64_t NsPerMs = 1000000;
  return {int64_t(now.tv_sec) * MsPerSecond + now.tv_nsec / NsPerMs};
}

int64_t wallClockMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

double dominantFraction(const Size &part, const Size &whole) {
  return std::max({fraction(part.Slots, whole.Slots),
                   fraction(part.MilliCpus, whole.MilliCpus),
                   fraction(part.MemoryMb, whole.MemoryMb),
                   fraction(part.Accelerators, whole.Accelerators)});
}

const char *errorName(ErrorCode code) {
  switch (code) {
  case ErrorCode::InvalidArgument:
    return "invalid-argument";
  case ErrorCode::Unauthenticated:
    return "unauthenticated";
  case ErrorCode::Forbidden:
    return "forbidden";
  case ErrorCode::NotFound:
    return "not-found";
  case ErrorCode::Conflict:
    return "conflict";
  case ErrorCode::TooLarge:
    return "too-large";
  case ErrorCode::Overloaded:
    return "overloaded";
  case ErrorCode::NoCapacity:
    return "no-capacity";
  case ErrorCode::NeverFits:
    return "never-fits";
  case ErrorCode::Stale:
    return "stale";
  case ErrorCode::NotLeader:
    return "not-leader";
  case ErrorCode::Unavailable:
    return "unavailable";
  case ErrorCode::DeadlineExceeded:
    return "deadline-exceeded";
  case ErrorCode::Cancelled:
    return "cancelled";
  case ErrorCode::EndpointFailed:
    return "endpoint-failed";
  case ErrorCode::Corrupt:
    return "corrupt";
  case ErrorCode::NoSpace:
    return "no-space";
  case ErrorCode::Io:
    return "io";
  }
  return "unknown-code";
}

const char *outcomeName(RunOutcome outcome) {
  switch (outcome) {
  case RunOutcome::NotRun:
    return "not-run";
  case RunOutcome::Unknown:
    return "unknown";
  case RunOutcome::Failed:
    return "failed";
  }
  return "unknown";
}

void invariant(bool holds, const char *text) {
  if (holds)
    return;
  if (invariantHandler())
    invariantHandler()(text);
  std::fprintf(stderr, "invariant: violated: %s\n", text);
  std::abort();
}

void setInvariantHandler(std::function<void(const char *)> handler) {
  invariantHandler() = std::move(handler);
}

std::string toString(const Address &address) {
  const bool ipv6 = address.Ip.find(':') != std::string::npos;
  const std::string host = ipv6 ? "[" + address.Ip + "]" : address.Ip;
  return host + ":" + std::to_string(address.Port);
}

Result<Address> parseAddress(const std::string &text) {
  const Error bad{ErrorCode::InvalidArgument,
                  "invalid address '" + text + "': must be IP:PORT"};
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0)
    return bad;
  std::string ip = text.substr(0, colon);
  if (ip.front() == '[' && ip.back() == ']')
    ip = ip.substr(1, ip.size() - 2);
  uint16_t port = 0;
  const char *end = text.data() + text.size();
  const auto [ptr, ec] = std::from_chars(text.data() + colon + 1, end, port);
  if (ec != std::errc() || ptr != end || !isIpAddress(ip))
    return bad;
  return Address{ip, port};
}

std::string sha256Hex(std::string_view data) {
  unsigned char buf[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char *>(data.data()), data.size(),
         buf);
  return toHex(buf, sizeof(buf));
}

std::string randomHex(int bytes) {
  std::vector<unsigned char> buf(bytes);
  invariant(RAND_bytes(buf.data(), bytes) == 1, "RAND_bytes failed");
  return toHex(buf.data(), buf.size());
}

bool equalConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace almondgate::core
