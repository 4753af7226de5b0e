#include "scratch.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace Primrosefork::Testkit {

auto uniqueNetwork() -> std::string
{
    constexpr int firstSecondByte = 10;
    constexpr int secondByteCount = 200;
    constexpr int thirdByteCount = 250;
    const auto pid = getpid();
    return "127." + std::to_string(firstSecondByte + pid / thirdByteCount % secondByteCount) + "." + std::to_string(1 + pid % thirdByteCount) + ".";
}

auto makeTemporaryFolder() -> std::string
{
    auto pattern = (std::filesystem::temp_directory_path() / "primrosefork-XXXXXX").string();
    return mkdtemp(pattern.data()) ? pattern : "";
}

auto writeJson(const std::string& path, const nlohmann::json& json) -> void
{
    std::ofstream file(path);
    file << json.dump(2) << "\n";
}

} // namespace Primrosefork::Testkit
