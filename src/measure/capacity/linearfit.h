#pragma once

#include <vector>

namespace Primrosefork {

/** One measured point. */
struct Point {
    double x = 0;
    double y = 0;
};

/**
 * Straight line fitted to measured points by least squares.
 */
struct LinearFit {
    double slope = 0;
    double slopeError = 0; ///< Standard error of the slope.
    double intercept = 0;
    double interceptError = 0; ///< Standard error of the intercept.

    /** Returns the value of the line at \a x. */
    [[nodiscard]] auto at(double x) const -> double { return this->intercept + this->slope * x; }
};

/** Returns the line fitted to \a points, of which there must be at least three. */
[[nodiscard]] auto fitLine(const std::vector<Point>& points) -> LinearFit;

} // namespace Primrosefork
