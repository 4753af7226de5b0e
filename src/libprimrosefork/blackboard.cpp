#include "blackboard.h"

namespace Primrosefork {

namespace {

template <typename Value>
auto ownerOf(const Section<Value>& section) -> SectionOwner
{
    return { section.sectionName(), section.writerName() };
}

} // namespace

auto Blackboard::owners() const -> std::vector<SectionOwner>
{
    return { ownerOf(this->lifecycle), ownerOf(this->configuration), ownerOf(this->backendServers),
        ownerOf(this->loadReports), ownerOf(this->reclaimNotices), ownerOf(this->backendSubset), ownerOf(this->peers), ownerOf(this->peerNotices) };
}

} // namespace Primrosefork
