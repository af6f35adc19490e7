#ifndef ALMONDGATE_PROTOCOL_HELD_BYTES_HPP
#define ALMONDGATE_PROTOCOL_HELD_BYTES_HPP

#include "peer_share.hpp"

namespace almondgate::protocol {

/// A reservation in a PeerShare; returned when the object is destroyed.
class HeldBytes {
public:
  HeldBytes() = default;
  HeldBytes(std::shared_ptr<PeerShare> share, BodyClass kind)
      : Share(std::move(share)), Kind(kind) {}
  HeldBytes(HeldBytes &&other) noexcept
      : Share(std::exchange(other.Share, nullptr)), Kind(other.Kind),
        Bytes(std::exchange(other.Bytes, 0)) {}
  HeldBytes &operator=(HeldBytes &&other) noexcept {
    std::swap(Share, other.Share);
    std::swap(Kind, other.Kind);
    std::swap(Bytes, other.Bytes);
    return *this;
  }
  ~HeldBytes() {
    if (Share)
      Share->release(Kind, Bytes);
  }

  /// Makes the reservation at least `n` bytes.
  [[nodiscard]] bool growTo(size_t n) {
    if (n <= Bytes)
      return true;
    if (!Share || !Share->tryReserve(Kind, Bytes, n - Bytes))
      return false;
    Bytes = n;
    return true;
  }

  /// Adds bytes that are held in any case.
  void add(size_t n) {
    if (!Share)
      return;
    Share->add(Kind, n);
    Bytes += n;
  }

private:
  std::shared_ptr<PeerShare> Share;
  BodyClass Kind = BodyClass::Bulk;
  size_t Bytes = 0;
};

} // namespace almondgate::protocol

#endif
