#include "linearfit.h"

#include <cmath>

namespace Primrosefork {

auto fitLine(const std::vector<Point>& points) -> LinearFit
{
    const auto count = static_cast<double>(points.size());
    double meanX = 0;
    double meanY = 0;
    for (const auto& point : points) {
        meanX += point.x / count;
        meanY += point.y / count;
    }
    double squares = 0;
    double products = 0;
    for (const auto& point : points) {
        squares += (point.x - meanX) * (point.x - meanX);
        products += (point.x - meanX) * (point.y - meanY);
    }
    LinearFit fit;
    fit.slope = products / squares;
    fit.intercept = meanY - fit.slope * meanX;
    double residuals = 0;
    for (const auto& point : points)
        residuals += std::pow(point.y - fit.at(point.x), 2);
    const auto variance = residuals / (count - 2);
    fit.slopeError = std::sqrt(variance / squares);
    fit.interceptError = std::sqrt(variance * (1 / count + meanX * meanX / squares));
    return fit;
}

} // namespace Primrosefork
