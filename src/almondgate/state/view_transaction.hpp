#ifndef ALMONDGATE_STATE_VIEW_TRANSACTION_HPP
#define ALMONDGATE_STATE_VIEW_TRANSACTION_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/model/view.hpp"
#include "almondgate/state/command.hpp"

#include <string>
#include <utility>
#include <vector>

namespace almondgate::state {

using Updates = std::vector<model::Update>;

/// Applies a command's updates to the view as they come, and can take them all
/// back.
class ViewTransaction {
public:
  explicit ViewTransaction(model::View &view)
      : Now(view), Before(view.Revision), Next(view.Revision + 1) {}

  const model::View &view() const { return Now; }
  uint64_t revision() const { return Next; }

  void put(model::Record record) { add({Next, false, std::move(record)}); }
  void remove(model::Record record) { add({Next, true, std::move(record)}); }

  void rollBack() {
    for (auto it = Undo.rbegin(); it != Undo.rend(); ++it)
      Now.apply(*it);
    Now.Revision = Before;
  }

  Updates take() { return std::move(Collected); }

private:
  void add(model::Update update) {
    Undo.push_back(model::inverseOf(Now, update));
    Now.apply(update);
    Collected.push_back(std::move(update));
  }

  model::View &Now;
  uint64_t Before;
  uint64_t Next;
  Updates Collected;
  Updates Undo;
};

// The refusals of commands.
inline core::Error invalidArgument(std::string text) {
  return {core::ErrorCode::InvalidArgument, std::move(text)};
}

inline core::Error notFound(const char *kind, const std::string &id) {
  return {core::ErrorCode::NotFound,
          std::string("no ") + kind + " '" + id + "'"};
}

inline core::Error conflict(std::string text) {
  return {core::ErrorCode::Conflict, std::move(text)};
}

/// Checks the name of a new record. Errors: InvalidArgument.
core::Status checkName(const char *kind, const std::string &id);

// Each carries a command out on a transaction, or says why not.
core::Status execute(ViewTransaction &transaction, const PutRecords &command);
core::Status execute(ViewTransaction &transaction, const RemoveRecord &command);
core::Status execute(ViewTransaction &transaction, const GrantKey &command);
core::Status execute(ViewTransaction &transaction, const WithdrawKey &command);
core::Status execute(ViewTransaction &transaction, const RegisterVm &command);
core::Status execute(ViewTransaction &transaction, const MoveVm &command);
core::Status execute(ViewTransaction &transaction,
                     const CompleteVmMove &command);
core::Status execute(ViewTransaction &transaction, const SetVmPhase &command);
core::Status execute(ViewTransaction &transaction, const CreateWave &command);
core::Status execute(ViewTransaction &transaction,
                     const SetWaveStatus &command);
core::Status execute(ViewTransaction &transaction, const AdvanceWave &command);
core::Status execute(ViewTransaction &transaction, const AssignPool &command);
core::Status execute(ViewTransaction &transaction, const SetPortion &command);

} // namespace almondgate::state

#endif
