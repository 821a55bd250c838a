/**
 * @file backend_control.h
 * The calls by which tests steer and read the leaves.
 */
#ifndef MONSOONCROFT_STANDIN_BACKEND_CONTROL_H
#define MONSOONCROFT_STANDIN_BACKEND_CONTROL_H

#include "standin/http_listener.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace monsooncroft::standin {

class execution_log;
class leaf_server;

/** Answers the /control calls of the backend. */
class backend_control : public request_handler
{
public:
  /**
   * @param aLeaves Every leaf; outlive this.
   * @param aLog The log of runs; outlives this.
   */
  backend_control(const std::vector<std::unique_ptr<leaf_server>>& aLeaves,
                  const execution_log& aLog);

  void Handle(const net::http_request& aRequest,
              reply_callback aReply) override;

private:
  using leaf_task = std::function<nlohmann::json(leaf_server&)>;

  void HandleLeaf(const nlohmann::json& aBody, const reply_callback& aReply);
  void HandleExecutions(const net::http_request& aRequest,
                        const reply_callback& aReply) const;
  void ForEach(const std::string& aName,
               const leaf_task& aTask,
               const reply_callback& aReply) const;

  const std::vector<std::unique_ptr<leaf_server>>& mLeaves;
  const execution_log& mLog;
};

} // namespace monsooncroft::standin

#endif
