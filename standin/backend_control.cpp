/**
 * @file backend_control.cpp
 * Control calls are carried out on the queue of each leaf they concern.
 */
#include "standin/backend_control.h"
#include "standin/event_loop.h"
#include "standin/execution_log.h"
#include "standin/json_reply.h"
#include "standin/leaf_server.h"

#include <mutex>

namespace monsooncroft::standin {

namespace {

using nlohmann::json;

constexpr const char* kExecutions = "/control/executions";
constexpr const char* kEveryLeaf = "*";

/** Collects what the leaves say, and answers after the last. */
class gathering
{
public:
  gathering(std::size_t aExpected, reply_callback aReply)
    : mExpected(aExpected)
    , mReply(std::move(aReply))
  {
  }

  void Add(const std::string& aLeaf, const json& aSaid)
  {
    const std::lock_guard lock(mMutex);
    mSaid[aLeaf] = aSaid;
    if (aSaid.contains("reason")) {
      mStatus = net::kHttpBadRequest;
    }
    --mExpected;
    if (mExpected == 0) {
      mReply(JsonReply(mStatus, { { "leaves", mSaid } }));
    }
  }

private:
  std::mutex mMutex; ///< Lock rank: innermost.
  std::size_t mExpected;
  reply_callback mReply;
  json mSaid = json::object();
  int mStatus = net::kHttpOk;
};

} // namespace

backend_control::backend_control(
  const std::vector<std::unique_ptr<leaf_server>>& aLeaves,
  const execution_log& aLog)
  : mLeaves(aLeaves)
  , mLog(aLog)
{
}

void
backend_control::Handle(const net::http_request& aRequest,
                        reply_callback aReply)
{
  try {
    if (aRequest.mTarget == "/control/leaf") {
      HandleLeaf(json::parse(aRequest.mBody), aReply);
    } else if (aRequest.mTarget == "/control/stats") {
      ForEach(
        kEveryLeaf, [](leaf_server& aLeaf) { return aLeaf.Stats(); }, aReply);
    } else if (aRequest.mTarget.starts_with(kExecutions)) {
      HandleExecutions(aRequest, aReply);
    } else {
      aReply(ReasonReply(net::kHttpNotFound, "no such call"));
    }
  } catch (const json::exception& error) {
    aReply(ReasonReply(net::kHttpBadRequest, error.what()));
  }
}

void
backend_control::HandleLeaf(const json& aBody, const reply_callback& aReply)
{
  const leaf_task task = [aBody](leaf_server& aLeaf) {
    try {
      aLeaf.Control(aBody);
      return json::object();
    } catch (const std::exception& error) {
      return json{ { "reason", error.what() } };
    }
  };
  ForEach(aBody.at("name"), task, aReply);
}

void
backend_control::HandleExecutions(const net::http_request& aRequest,
                                  const reply_callback& aReply) const
{
  const std::string query = std::string(kExecutions) + "?request=";
  if (aRequest.mTarget.starts_with(query)) {
    const std::string request = aRequest.mTarget.substr(query.size());
    aReply(JsonReply(net::kHttpOk, mLog.Of(request)));
  } else if (aRequest.mBody.empty()) {
    aReply(JsonReply(net::kHttpOk, mLog.Summary()));
  } else {
    const json body = json::parse(aRequest.mBody);
    aReply(JsonReply(net::kHttpOk, mLog.Of(body.at("request_id"))));
  }
}

void
backend_control::ForEach(const std::string& aName,
                         const leaf_task& aTask,
                         const reply_callback& aReply) const
{
  std::vector<leaf_server*> chosen;
  for (const auto& leaf : mLeaves) {
    if (aName == kEveryLeaf || aName == leaf->Name()) {
      chosen.push_back(leaf.get());
    }
  }
  if (chosen.empty()) {
    aReply(ReasonReply(net::kHttpNotFound, "no such leaf"));
    return;
  }
  auto answers = std::make_shared<gathering>(chosen.size(), aReply);
  for (leaf_server* leaf : chosen) {
    leaf->Queue().Post(
      [leaf, answers, aTask] { answers->Add(leaf->Name(), aTask(*leaf)); });
  }
}

} // namespace monsooncroft::standin
