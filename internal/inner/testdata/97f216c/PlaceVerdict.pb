ssss"sssss*ssssss08@H	P
