/** Waits for the rest of a response head whose beginning may have filled up the body of the response before it. */
import {type Dispatcher} from 'undici';

/**
 * Time for which the rest of the head is awaited, in milliseconds. A backend server that sends too little of one response and
 * then another one writes that head at once.
 */
const headRestTimeoutMs = 250;

/**
 * Pauses a response at the last byte of a body that ends like the beginning of a head. Either the body is whole, as its length
 * says, or it was cut and the next response fills it up; then the rest of that head arrives meanwhile. The connection carries
 * no other request until the response is resumed.
 */
export class HeadRestWait {
	#timer: NodeJS.Timeout | undefined;

	isRunning(): boolean {
		return this.#timer !== undefined;
	}

	/** Pauses the response and resumes it after the wait. */
	start(controller: Dispatcher.DispatchController): void {
		controller.pause();
		this.#timer = setTimeout(() => {
			this.#timer = undefined;
			controller.resume();
		}, headRestTimeoutMs);
	}

	stop(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
	}
}
