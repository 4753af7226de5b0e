#include "finding.h"

namespace Primrosefork {

auto formatFindings(const Findings& findings) -> std::string
{
    std::string text;
    for (const auto& finding : findings)
        text += (finding.place.empty() ? "/" : finding.place) + ": " + finding.message + "\n";
    return text;
}

} // namespace Primrosefork
