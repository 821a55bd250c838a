/**
 * @file manifest_assembler_test.cpp
 * Only what changed is parsed, and the manifest is the same as if all were.
 */
#include "config/manifest_json_func.h"
#include "entry/manifest_assembler_base.h"
#include "entry/manifest_store_source_base.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace monsooncroft::entry {
namespace {

model::manifest
Example()
{
  std::ifstream file(MC_SOURCE_DIR "/examples/guild.json");
  std::ostringstream text;
  text << file.rdbuf();
  return config::ParseManifest(text.str(), 1).value();
}

/** Head and chunks of a manifest; the texts serve as hashes. */
std::pair<cluster::manifest_head, std::vector<cluster::chunk>>
ChunksOf(const model::manifest& aManifest)
{
  std::pair<cluster::manifest_head, std::vector<cluster::chunk>> out;
  out.first.mVersion = aManifest.Version();
  out.second.push_back(
    { kTenantsChunk, config::EmitTenants(aManifest.Workspaces()) });
  for (const model::service& service : aManifest.Services()) {
    out.second.push_back({ service.mId.Value(), config::EmitService(service) });
  }
  for (const cluster::chunk& chunk : out.second) {
    out.first.mChunks.push_back({ chunk.mName, chunk.mText });
  }
  return out;
}

TEST(manifest_assembler, parses_only_changed_services)
{
  const model::manifest first = Example();
  auto services = first.Services();
  services[3].mContracts[0].mDeadline += std::chrono::milliseconds(1);
  const model::manifest second(2, first.Workspaces(), services);
  manifest_assembler assembler;
  const auto [head, chunks] = ChunksOf(first);
  EXPECT_EQ(assembler.Assemble(head, chunks).value(), first);
  EXPECT_EQ(assembler.Parsed(), first.Services().size());
  const auto [nextHead, nextChunks] = ChunksOf(second);
  EXPECT_EQ(assembler.Assemble(nextHead, nextChunks).value(), second);
  EXPECT_EQ(assembler.Parsed(), first.Services().size() + 1);
}

TEST(manifest_assembler, invalid_chunk_leaves_the_memory_as_it_was)
{
  const model::manifest first = Example();
  manifest_assembler assembler;
  auto [head, chunks] = ChunksOf(first);
  ASSERT_TRUE(assembler.Assemble(head, chunks));
  auto badChunks = chunks;
  auto badHead = head;
  badChunks[2].mText = "{}";
  badHead.mChunks[2].mHash = "other";
  EXPECT_FALSE(assembler.Assemble(badHead, badChunks));
  EXPECT_EQ(assembler.Assemble(head, chunks).value(), first);
  EXPECT_EQ(assembler.Parsed(), first.Services().size());
}

} // namespace
} // namespace monsooncroft::entry
