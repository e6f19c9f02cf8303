"""The metrics page counts the traffic of an instance with its peers."""

import aiohttp


async def test_metrics_page_counts_peer_traffic(deployment):
    url = deployment.addresses.callers_urls[0] + "/metrics"
    async with aiohttp.ClientSession() as session:
        async with session.get(url) as response:
            text = await response.text()
    lines = [line for line in text.splitlines() if "bytes_sent" in line]
    assert response.status == 200
    assert len(lines) == 1
    assert float(lines[0].split()[-1]) > 0
