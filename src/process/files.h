#ifndef LABURNUMMAST_PROCESS_FILES_H
#define LABURNUMMAST_PROCESS_FILES_H

#include "core/result.h"

#include <cstdint>
#include <string>

namespace Laburnummast::Process
{

enum class FileErrorKind : std::uint8_t {
    CannotOpen,
    TooLarge,
    Empty,
};

struct FileError
{
    FileErrorKind kind = FileErrorKind::CannotOpen;
    std::string path;
};

std::string describe(const FileError &error);

/// Reads a text file of bounded size.
Result<std::string, FileError> readFile(const std::string &path);

/// Reads a key or credential: the file's text without white space at its ends.
Result<std::string, FileError> readKeyFile(const std::string &path);

}

#endif
