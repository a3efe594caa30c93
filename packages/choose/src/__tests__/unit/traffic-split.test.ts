import {expect} from 'chai';
import {routeSchema} from '@limpetbarrow/releases';
import {pickService} from '../../index.js';

describe('traffic split of a route', () => {
	const route = routeSchema.parse({
		name: 'r', pathPrefix: '/', service: 'one', shares: [{service: 'one', weight: 90}, {service: 'two', weight: 10}],
	});

	it('picks services in proportion to their weights', () => {
		const picked = Array.from({length: 1000}, (_, index) => pickService(route, index / 1000));
		expect(picked.filter(service => service === 'two').length).to.equal(100);
	});

	it('picks the service of the route when there are no shares or none has a weight', () => {
		expect(pickService(routeSchema.parse({name: 'r', pathPrefix: '/', service: 'one'}), 0.99)).to.equal('one');
		expect(pickService(routeSchema.parse({
			name: 'r', pathPrefix: '/', service: 'one', shares: [{service: 'two', weight: 0}],
		}), 0.5)).to.equal('one');
	});
});
