/**
 * @file temporary_file.cpp
 * Files in the system's folder for temporary ones.
 */
#include "support/temporary_file.h"

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <system_error>

#include <unistd.h>

namespace monsooncroft::test_support {

temporary_file::temporary_file(const std::string& aContent)
  : mPath(std::filesystem::temp_directory_path() / "monsooncroft-XXXXXX")
{
  const int file = ::mkstemp(mPath.data());
  if (file < 0) {
    throw std::system_error(errno, std::generic_category(), mPath);
  }
  ::close(file);
  std::ofstream(mPath) << aContent;
}

temporary_file::~temporary_file()
{
  std::error_code ignored;
  std::filesystem::remove(mPath, ignored);
}

} // namespace monsooncroft::test_support
