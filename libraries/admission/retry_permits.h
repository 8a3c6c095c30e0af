#ifndef LIBRARIES_ADMISSION_RETRY_PERMITS_H_
#define LIBRARIES_ADMISSION_RETRY_PERMITS_H_

namespace bulrushshore {

// Why a request is sent to a further target.
enum class retry_cause {
  // The earlier attempt has failed, so without a retry the request fails.
  kFailedAttempt,
  // The earlier attempt is still in progress and takes long.
  kSlowAttempt,
};

// Decides which retries of one service may be sent. Implementations need not be
// thread safe.
class retry_permits {
 public:
  virtual ~retry_permits() = default;

  // Takes a token for a retry; returns false if there is none for this cause.
  virtual bool TryTakeRetry(retry_cause cause) = 0;

  // Returns the token of a retry that was not started.
  // Precondition: TryTakeRetry() returned true more often than this was called.
  virtual void ReturnToken() = 0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_ADMISSION_RETRY_PERMITS_H_
