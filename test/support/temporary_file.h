/**
 * @file temporary_file.h
 * A file that goes with its test.
 */
#ifndef MONSOONCROFT_TEST_SUPPORT_TEMPORARY_FILE_H
#define MONSOONCROFT_TEST_SUPPORT_TEMPORARY_FILE_H

#include <string>

namespace monsooncroft::test_support {

/** A settings file for a child process. */
class temporary_file
{
public:
  explicit temporary_file(const std::string& aContent);
  temporary_file(const temporary_file&) = delete;
  temporary_file& operator=(const temporary_file&) = delete;
  ~temporary_file();

  const std::string& Path() const { return mPath; }

private:
  std::string mPath;
};

} // namespace monsooncroft::test_support

#endif
