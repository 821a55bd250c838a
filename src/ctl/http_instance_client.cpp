/**
 * @file http_instance_client.cpp
 * Calls to entry instances over HTTP.
 */
#include "ctl/http_instance_client_base.h"

#include "net/http_pool_base.h"

#include <algorithm>
#include <future>

namespace monsooncroft::ctl {

namespace {

constexpr std::size_t kMaxConcurrentCalls = 64;

} // namespace

http_instance_client::http_instance_client(net::http_pool& aPool)
  : mPool(aPool)
{
}

std::vector<net::exchange_result>
http_instance_client::CallAll(const std::vector<model::endpoint>& aInstances,
                              const net::http_request& aRequest,
                              std::chrono::milliseconds aTimeout)
{
  std::vector<net::exchange_result> out;
  out.reserve(aInstances.size());
  while (out.size() < aInstances.size()) {
    const std::size_t begin = out.size();
    const std::size_t end =
      std::min(begin + kMaxConcurrentCalls, aInstances.size());
    std::vector<std::promise<net::exchange_result>> promises(end - begin);
    for (std::size_t i = begin; i < end; ++i) {
      mPool.Send(
        aInstances[i],
        aRequest,
        aTimeout,
        [&promise = promises[i - begin]](const net::exchange_result& aResult) {
          promise.set_value(aResult);
        });
    }
    for (auto& promise : promises) {
      out.push_back(promise.get_future().get());
    }
  }
  return out;
}

} // namespace monsooncroft::ctl
