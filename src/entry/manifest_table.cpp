/**
 * @file manifest_table.cpp
 * Keeping manifests by version.
 */
#include "entry/manifest_table_base.h"

#include <algorithm>

namespace monsooncroft::entry {

namespace {

constexpr std::size_t kKeptManifests = 4;

} // namespace

manifest_table::manifest_table(std::size_t aOwnersPerGroup)
  : mOwnersPerGroup(aOwnersPerGroup)
{
}

bool
manifest_table::Adopt(const model::manifest_ptr& aManifest)
{
  const std::lock_guard lock(mMutex);
  if (!mKept.empty() && mKept.front()->Version() >= aManifest->Version()) {
    return false;
  }
  mKept.push_front(aManifest);
  if (mKept.size() > kKeptManifests) {
    mKept.pop_back();
  }
  Rebuild();
  return true;
}

void
manifest_table::SetView(const cluster::member_view_ptr& aView)
{
  const std::lock_guard lock(mMutex);
  mView = aView;
  Rebuild();
}

void
manifest_table::Rebuild()
{
  if (!mKept.empty() && mView) {
    mOwners =
      cluster::ownership::Build(mKept.front(), mView, mOwnersPerGroup, mOwners);
  }
}

model::manifest_ptr
manifest_table::Current() const
{
  const std::lock_guard lock(mMutex);
  return mKept.empty() ? nullptr : mKept.front();
}

model::manifest_ptr
manifest_table::Find(model::manifest_version aVersion) const
{
  const std::lock_guard lock(mMutex);
  const auto found = std::find_if(
    mKept.begin(), mKept.end(), [&](const model::manifest_ptr& aKept) {
      return aKept->Version() == aVersion;
    });
  return found == mKept.end() ? nullptr : *found;
}

cluster::ownership_ptr
manifest_table::Owners() const
{
  const std::lock_guard lock(mMutex);
  return mOwners;
}

cluster::member_view_ptr
manifest_table::View() const
{
  const std::lock_guard lock(mMutex);
  return mView;
}

} // namespace monsooncroft::entry
