/**
 * @file path_test.cpp
 * One query from start to finish through real processes.
 */
#include "process/deployment.h"

#include <gtest/gtest.h>

namespace monsooncroft::process_test {
namespace {

using nlohmann::json;

constexpr int kPortBase = 26000;

class path : public testing::Test
{
protected:
  void SetUp() override
  {
    deployment_options options;
    options.mPortBase = kPortBase;
    mDeployment = std::make_unique<deployment>(options);
    mDeployment->Start();
  }

  std::unique_ptr<deployment> mDeployment;
};

TEST_F(path, every_kind_is_answered_whole_through_every_instance)
{
  for (int entry = 0; entry < mDeployment->Entries(); ++entry) {
    for (const char* kind : { "find", "browse", "book" }) {
      const json query = deployment::Query(kind);
      const auto reply = mDeployment->Ask(entry, query);
      ASSERT_TRUE(reply.Ok()) << kind << " " << reply.mText;
      EXPECT_EQ(reply.mBody["request_id"], query["request_id"]);
      EXPECT_EQ(reply.mBody["status"], "complete");
      EXPECT_EQ(reply.mBody["snapshot"], 1);
      EXPECT_EQ(reply.mBody["coverage"]["answered"], 6);
      EXPECT_EQ(reply.mBody["coverage"]["missing"], json::array());
    }
  }
}

TEST_F(path, not_idempotent_request_sent_again_is_not_run_again)
{
  const json query = deployment::Query("book");
  const auto first = mDeployment->Ask(0, query);
  ASSERT_TRUE(first.Ok()) << first.mText;
  for (int entry = 0; entry < mDeployment->Entries(); ++entry) {
    const auto again = mDeployment->Ask(entry, query);
    EXPECT_EQ(again.mText, first.mText);
  }
  EXPECT_EQ(mDeployment->Executions(query["request_id"])["total"], 3);
}

} // namespace
} // namespace monsooncroft::process_test
