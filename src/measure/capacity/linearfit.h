#pragma once

#include <vector>

namespace Primrosefork {

/** One measured point. */
struct Point {
    double x = 0;
    double y = 0;
};

/**
 * A straight line through measured points, by least squares.
 */
struct LinearFit {
    double slope = 0;
    double slopeError = 0; ///< Standard error.
    double intercept = 0;
    double interceptError = 0; ///< Standard error.

    /** Returns the value of the line at \a x. */
    [[nodiscard]] auto at(double x) const -> double { return this->intercept + this->slope * x; }
};

/** Returns the line through \a points, of which there must be three at least. */
[[nodiscard]] auto fitLine(const std::vector<Point>& points) -> LinearFit;

} // namespace Primrosefork
