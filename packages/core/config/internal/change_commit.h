// Commits one change to the store: reads the current configuration, writes it
// to the history, writes the next configuration if the current one has not
// changed since, and determines the outcome of a write whose reply was lost.
//
// A write is only retried with the same body and expected version, so that it
// takes effect at most once.
#pragma once

#include <string>

#include "core/config/change_request.h"
#include "core/config/configuration.h"
#include "core/config/store_call.h"

namespace ebonykeel::internal {

// The result of reading the current configuration.
struct CurrentRead
{
  enum class Status
  {
    kFound,
    kAbsent,
    kUnreadable,
    kFailed,
  };
  Status m_status = Status::kFailed;
  // Not null if the status is `kFound`.
  ConfigurationPtr m_configuration;
  StoreVersion m_version = 0;
};

// What to do next.
enum class CommitStep
{
  // Make the call that `NextCall` returns now.
  kCall,
  // Make the call that `NextCall` returns after a backoff.
  kCallLater,
  // The commit has ended; `Reply` returns the outcome.
  kDone,
};

// One call to the store, without its token.
struct CommitCall
{
  bool m_write = false;
  std::string m_key;
  std::string m_body;
  StoreVersion m_ifVersion = 0;
};

class ChangeCommit
{
public:
  explicit ChangeCommit(ChangeRequest aRequest);

  // Returns the call to make next, or the call whose reply is outstanding.
  [[nodiscard]] CommitCall NextCall() const;

  // Must be called when the call of `NextCall` is made, before its reply or
  // `GiveUp`.
  void OnCallStarted();

  // Called with the reply to a read. `aInForce` is the generation in force on
  // this instance.
  [[nodiscard]] CommitStep OnRead(const CurrentRead& aRead,
                                  Generation aInForce);
  // Called with the reply to a write.
  [[nodiscard]] CommitStep OnWrite(StoreStatus aStatus);

  // Ends the commit when its deadline has passed.
  void GiveUp();

  // Returns the outcome after `CommitStep::kDone` or `GiveUp`.
  [[nodiscard]] const ChangeReply& Reply() const { return m_reply; }
  // Returns the configuration that the store confirmed in the reply to this
  // commit's write, or null.
  [[nodiscard]] const ConfigurationPtr& Accepted() const { return m_accepted; }

private:
  enum class Phase
  {
    kReadingBase,
    kWritingHistory,
    kWriting,
    kConfirming,
  };

  CommitStep ApplyChange(const CurrentRead& aRead);
  CommitStep OnConfirmationRead(const CurrentRead& aRead);
  CommitStep OnConfirmationFound(const CurrentRead& aRead);
  CommitStep Finish(ChangeOutcome aOutcome, Generation aGeneration);
  CommitStep OnHistoryWritten(StoreStatus aStatus);
  CommitStep OnConfigurationWritten(StoreStatus aStatus);

  ChangeRequest m_request;
  Phase m_phase = Phase::kReadingBase;
  // The outcome to report if the deadline passes and no write can have taken
  // effect.
  ChangeOutcome m_timeoutOutcome = ChangeOutcome::kStoreUnreachable;
  // The reply to a write of `m_next` is outstanding.
  bool m_writeInFlight = false;
  // An earlier write of `m_next` may have taken effect or may still do so.
  bool m_writeMayTakeEffect = false;
  ConfigurationPtr m_base;
  StoreVersion m_baseVersion = 0;
  ConfigurationPtr m_next;
  ConfigurationPtr m_accepted;
  ChangeReply m_reply;
};

} // namespace ebonykeel::internal
