
sssssssss"sssss*ssssss08@H	PZ	
sssssZ
sssssss`hpx