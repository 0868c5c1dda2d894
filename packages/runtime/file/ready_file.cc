#include "runtime/file/ready_file.h"

#include <cstdio>
#include <fstream>

namespace ebonykeel {

bool
WriteReadyFile(const std::string& aPath, std::string_view aText)
{
  const std::string temporary = aPath + ".new";
  {
    std::ofstream file(temporary, std::ios::binary | std::ios::trunc);
    file << aText;
    if (!file.flush()) {
      return false;
    }
  }
  return std::rename(temporary.c_str(), aPath.c_str()) == 0;
}

} // namespace ebonykeel
