/** Replaces hdr-histogram-js in the sidecar's bundle by the part that it uses: without logs, compression and WebAssembly. */
import Int32Histogram from '../../node_modules/hdr-histogram-js/dist/Int32Histogram.js';

/** Creates a histogram as the package's own `build` does for 32-bit buckets. */
export function build({lowestDiscernibleValue = 1, highestTrackableValue = 2, numberOfSignificantValueDigits = 3, autoResize = true} = {}) {
	const histogram = new Int32Histogram.default(lowestDiscernibleValue, highestTrackableValue, numberOfSignificantValueDigits);
	histogram.autoResize = autoResize;
	return histogram;
}
