#include "almondgate/control/heartbeat_member.hpp"

#include <string_view>

namespace almondgate::control {

namespace {

// FNV-1a, whose values are the same on all members, unlike those of std::hash.
constexpr uint64_t HashBasis = 14695981039346656037U;
constexpr uint64_t HashPrime = 1099511628211U;

uint64_t extendHash(uint64_t hash, std::string_view text) {
  for (const char c : text)
    hash = (hash ^ static_cast<unsigned char>(c)) * HashPrime;
  return hash;
}

// The finalizer of MurmurHash3. FNV-1a alone spreads the last characters too
// little over the upper bits, by which the members are compared.
uint64_t mixBits(uint64_t hash) {
  constexpr int Shift = 33;
  hash = (hash ^ (hash >> Shift)) * 0xff51afd7ed558ccdU;
  hash = (hash ^ (hash >> Shift)) * 0xc4ceb9fe1a85ec53U;
  return hash ^ (hash >> Shift);
}

} // namespace

// Rendezvous hashing: each member has a weight for the endpoint, and the
// heaviest one takes it.
std::optional<core::Address>
chooseHeartbeatMember(const jobs::EndpointId &id,
                      const std::vector<core::Address> &members) {
  std::optional<core::Address> chosen;
  uint64_t most = 0;
  for (const auto &member : members) {
    const uint64_t weight = mixBits(extendHash(
        extendHash(HashBasis, core::toString(member) + "/"), id.str()));
    const bool preferred =
        !chosen || weight > most || (weight == most && member < *chosen);
    if (!preferred)
      continue;
    chosen = member;
    most = weight;
  }
  return chosen;
}

} // namespace almondgate::control
