/**
 * @file workspace_admission_base.h
 * Interface to the quotas of workspaces.
 */
#ifndef MONSOONCROFT_GATEWAY_WORKSPACE_ADMISSION_BASE_H
#define MONSOONCROFT_GATEWAY_WORKSPACE_ADMISSION_BASE_H

#include "model/time_type.h"

#include <chrono>
#include <functional>

namespace monsooncroft::serving {
struct workspace;
}

namespace monsooncroft::gateway {

/** Whether a request is within its workspace's quota. */
struct admission_decision
{
  bool mAdmitted = true;
  /** Time until the quota allows a further request, if it was not admitted. */
  std::chrono::milliseconds mRetryAfter{ 0 };

  bool operator==(const admission_decision&) const = default;
};

/** Charges requests to the quotas of their workspaces. */
class workspace_admission
{
public:
  using callback = std::function<void(const admission_decision&)>;

  workspace_admission() = default;
  virtual ~workspace_admission() = default;
  workspace_admission(const workspace_admission&) = delete;
  workspace_admission& operator=(const workspace_admission&) = delete;
  workspace_admission(workspace_admission&&) = delete;
  workspace_admission& operator=(workspace_admission&&) = delete;

  /** Charges one request. The decision may be made at once, in this call, or
   * after another instance was asked. */
  virtual void Admit(const serving::workspace& aWorkspace,
                     model::instant aNow,
                     callback aDone) = 0;
};

} // namespace monsooncroft::gateway

#endif
