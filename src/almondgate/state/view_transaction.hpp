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

/// Applies the updates of one command to the view immediately, and can undo all
/// of them.
class ViewTransaction {
public:
  explicit ViewTransaction(model::View &view)
      : Current(view), InitialRevision(view.Revision),
        NextRevision(view.Revision + 1) {}

  const model::View &view() const { return Current; }
  /// The revision that the updates receive.
  uint64_t revision() const { return NextRevision; }

  void put(model::Record record) {
    add({NextRevision, false, std::move(record)});
  }
  void remove(model::Record record) {
    add({NextRevision, true, std::move(record)});
  }

  /// Undoes all updates and restores the view's revision.
  void rollBack() {
    for (auto it = Inverses.rbegin(); it != Inverses.rend(); ++it)
      Current.apply(*it);
    Current.Revision = InitialRevision;
  }

  /// Returns the updates applied so far, in order.
  Updates takeUpdates() { return std::move(Applied); }

private:
  void add(model::Update update) {
    Inverses.push_back(model::inverseOf(Current, update));
    Current.apply(update);
    Applied.push_back(std::move(update));
  }

  model::View &Current;
  uint64_t InitialRevision;
  uint64_t NextRevision;
  Updates Applied;
  Updates Inverses;
};

// Errors with which commands are refused.
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

/// Checks the name of a record that is to be created. Errors: InvalidArgument.
core::Status checkName(const char *kind, const std::string &id);

// Each executes one command in a transaction. On an error, which says why the
// command is refused, the caller rolls the transaction back.
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
