#include "command/file_func.h"

#include "core/error_type.h"

#include <fstream>
#include <sstream>

namespace bramleypitch {

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw Failure(ErrorCode::InvalidSetting, "cannot read " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace bramleypitch
