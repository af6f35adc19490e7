#ifndef ALMONDGATE_CORE_VALUE_HPP
#define ALMONDGATE_CORE_VALUE_HPP

#include <memory>
#include <utility>

namespace almondgate::core {

/// A shared, immutable T. Copies are cheap and compare by content.
/// `pool.with([](Pool &p) { p.Spare = true; })` returns a modified copy.
template <class T> class Value {
public:
  Value() : Held(std::make_shared<const T>()) {}
  Value(T value) : Held(std::make_shared<const T>(std::move(value))) {}

  const T &operator*() const { return *Held; }
  const T *operator->() const { return Held.get(); }

  template <class Edit> Value with(Edit edit) const {
    T copy = *Held;
    edit(copy);
    return Value(std::move(copy));
  }

  bool operator==(const Value &other) const {
    return Held == other.Held || *Held == *other.Held;
  }

private:
  std::shared_ptr<const T> Held;
};

} // namespace almondgate::core

#endif
